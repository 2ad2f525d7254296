package team

import "strings"

// maxKeyBytes is the longest API key. Longer ones are malformed and are not hashed.
const maxKeyBytes = 256

// Credentials tells what the credentials of a request hold.
type Credentials uint8

// States of the credentials of a request.
const (
	NoKey     Credentials = iota // no credentials, or those of another scheme
	HasKey                       // one API key
	Malformed                    // a key that no configuration can have
)

// ParseCredentials returns the API key in the values of a header of the form "scheme key". The
// scheme is compared without regard to case. Credentials that appear more than once are malformed,
// since a server might read another of them than this VM does.
func ParseCredentials(values []string, scheme string) (string, Credentials) {
	switch len(values) {
	case 0:
		return "", NoKey
	case 1:
	default:
		return "", Malformed
	}
	got, rest, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(got, scheme) {
		return "", NoKey
	}
	key := strings.TrimLeft(rest, " ")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, invalidInKey) {
		return "", Malformed
	}
	return key, HasKey
}

// invalidInKey reports whether r is a space, a comma, a control character or not ASCII. A comma
// separates the values of a repeated header that a proxy has joined.
func invalidInKey(r rune) bool { return r <= ' ' || r >= 0x7f || r == ',' }
