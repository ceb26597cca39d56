package request_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRequest(t *testing.T) { suite.Run(t, "request") }

const sampleKey = "0190c0de-1234-7abc-8def-0123456789ab"

func header(pairs ...string) http.Header {
	h := http.Header{}
	for i := 0; i < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

var _ = Describe("caller headers", func() {
	DescribeTable("are parsed",
		func(method string, h http.Header, timeout time.Duration, idempotent, watch, claimed bool) {
			p, err := request.Parse(method, h)
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{p.Timeout, p.Idempotent, p.Watch, p.NeedsClaim()}).To(Equal([]any{timeout, idempotent, watch, claimed}))
		},
		Entry("plain read", "GET", header(), request.DefaultTimeout, true, false, false),
		Entry("plain write", "POST", header(), request.DefaultTimeout, false, false, false),
		Entry("key", "POST", header(request.HeaderKey, sampleKey), request.DefaultTimeout, false, false, true),
		Entry("quoted key", "POST", header(request.HeaderKey, `"`+sampleKey+`"`), request.DefaultTimeout, false, false, true),
		Entry("a read with a key runs at most once", "GET", header(request.HeaderKey, sampleKey), request.DefaultTimeout, false, false, true),
		Entry("explicitly idempotent", "POST", header(request.HeaderKey, sampleKey, request.HeaderIdempotent, "?1"), request.DefaultTimeout, true, false, false),
		Entry("timeout", "GET", header(request.HeaderTimeout, "1.25"), 1250*time.Millisecond, true, false, false),
		Entry("event stream", "GET", header("Accept", "text/event-stream"), request.DefaultTimeout, true, true, false),
		Entry("watch", "GET", header(request.HeaderWatch, "?1"), request.DefaultTimeout, true, true, false),
	)

	DescribeTable("are rejected", func(h http.Header) {
		_, err := request.Parse("POST", h)
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	},
		Entry("key that is not a UUID", header(request.HeaderKey, "order-17")),
		Entry("UUID of version 4", header(request.HeaderKey, "0190c0de-1234-4abc-8def-0123456789ab")),
		Entry("key with a digit that is not hexadecimal", header(request.HeaderKey, "0190c0de-1234-7abc-8def-0123456789ag")),
		Entry("two keys", header(request.HeaderKey, sampleKey, request.HeaderKey, sampleKey)),
		Entry("malformed boolean", header(request.HeaderIdempotent, "yes")),
		Entry("negative timeout", header(request.HeaderTimeout, "-1")),
		Entry("timeout without digits", header(request.HeaderTimeout, ".")),
		Entry("timeout with four decimals", header(request.HeaderTimeout, "1.2345")),
		Entry("timeout above the maximum", header(request.HeaderTimeout, "601")),
	)

	It("encodes the time of issue in a key", func() {
		now := time.UnixMilli(1_790_000_000_123)
		k := request.NewKey(now, [10]byte{1, 2, 3, 255, 254})
		Expect(k.IssuedAt()).To(Equal(now))
		Expect(request.ParseKey(k.String())).To(Equal(k))
	})

	It("reports an outcome in status, headers and body", func() {
		w := httptest.NewRecorder()
		request.WriteOutcome(w, request.NotRun, "k", "no slot", 100*time.Millisecond)
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get(request.HeaderOutcome)).To(Equal("not_run"))
		Expect(w.Header().Get(request.HeaderRetryAfter)).To(Equal("1"))
		Expect(w.Body.String()).To(MatchJSON(`{"outcome":"not_run","key":"k","reason":"no slot","retry_after_seconds":1}`))
	})
})

func FuzzParse(f *testing.F) {
	f.Add(sampleKey, "1.25", "?1", "?0")
	f.Add("", "", "", "")
	f.Fuzz(func(t *testing.T, key, timeout, idempotent, watch string) {
		h := http.Header{}
		for name, v := range map[string]string{
			request.HeaderKey: key, request.HeaderTimeout: timeout,
			request.HeaderIdempotent: idempotent, request.HeaderWatch: watch,
		} {
			if v != "" {
				h.Set(name, v)
			}
		}
		p, err := request.Parse("POST", h)
		if err != nil {
			return
		}
		if p.Timeout < 0 || p.Timeout > request.MaxTimeout {
			t.Fatalf("timeout %s out of range", p.Timeout)
		}
		if p.HasKey {
			if again, err := request.ParseKey(p.Key.String()); err != nil || again != p.Key {
				t.Fatalf("key %s does not parse back to itself: %v", p.Key, err)
			}
		}
	})
}
