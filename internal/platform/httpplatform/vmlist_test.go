package httpplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"

	"github.com/coder/quartz"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/httpplatform"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

var _ = Describe("list of VMs", func() {
	// Guards against a client that transfers the whole list at each call, and
	// against one that does not notice a changed list.
	It("is transferred only when it has changed", func() {
		platformServer := standin.NewServer(quartz.NewReal(), 1)
		var statuses []int
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rec := httptest.NewRecorder()
			platformServer.ServeHTTP(rec, r)
			statuses = append(statuses, rec.Code)
			for name, values := range rec.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(rec.Code)
			_, _ = w.Write(rec.Body.Bytes())
		}))
		DeferCleanup(server.Close)
		client := httpplatform.New(httpplatform.Options{BaseURL: server.URL, VM: "vm-1"})
		DeferCleanup(client.Close)
		list := func() []platform.VMEntry {
			GinkgoHelper()
			entries, err := client.VMs().List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return entries
		}

		first := []platform.VMEntry{{Name: "a", Address: "127.0.0.1:1"}}
		platformServer.SetVMs(first...)
		Expect(list()).To(Equal(first))
		Expect(list()).To(Equal(first))
		platformServer.SetVMs(platform.VMEntry{Name: "a", Address: "127.0.0.1:1", Leaving: true})
		Expect(list()[0].Leaving).To(BeTrue())
		Expect(statuses).To(Equal([]int{200, 304, 200}))
	})
})
