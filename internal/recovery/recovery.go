// Package recovery turns panics into errors, so that an unexpected fault in the work for one
// request, message or connection ends that work only.
package recovery

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic with the stack of its goroutine.
type PanicError struct {
	Value any
	Stack string
}

// Error implements error. The text includes the stack.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Catch sets *err to a PanicError if the function that defers it panics. It must be deferred
// itself, not called by a deferred function.
func Catch(err *error) {
	if p := recover(); p != nil {
		*err = &PanicError{Value: p, Stack: string(debug.Stack())}
	}
}

// Run returns the error of f, or a PanicError if f panics.
func Run(f func() error) (err error) {
	defer Catch(&err)
	return f()
}
