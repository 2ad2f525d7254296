package settings_test

import (
	"os"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/settings"
)

// Guards against a setting that is missing in the operators' documentation or is
// listed there with another environment variable or default.
var _ = Describe("docs/OPERATIONS.md", func() {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	Expect(err).NotTo(HaveOccurred())
	fields := reflect.VisibleFields(reflect.TypeFor[settings.Settings]())
	for _, field := range fields {
		flag, _, _ := strings.Cut(field.Tag.Get("arg"), ",")
		It("describes "+flag, func() {
			variable := settings.EnvPrefix + strings.ToUpper(strings.ReplaceAll(strings.TrimPrefix(flag, "--"), "-", "_"))
			start := "| `" + flag + "` | `" + variable + "` | "
			_, row, found := strings.Cut(string(page), start)
			Expect(found).To(BeTrue(), "no row starts with %s", start)
			if value := field.Tag.Get("default"); value != "" {
				Expect(row).To(HavePrefix(value + " |"))
			}
		})
	}
})
