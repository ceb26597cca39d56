package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/pkg/caller"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCaller(t *testing.T) { suite.Run(t, "caller") }

// script answers each try by the next outcome; "" is a broken connection.
type script struct {
	outcomes []request.Outcome
	keys     []string
}

func (s *script) Do(r *http.Request) (*http.Response, error) {
	s.keys = append(s.keys, r.Header.Get(request.HeaderKey))
	o := s.outcomes[min(len(s.keys), len(s.outcomes))-1]
	if o == "" {
		return nil, errors.New("connection lost")
	}
	res := &http.Response{StatusCode: o.Status(), Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body"))}
	res.Header.Set(request.HeaderOutcome, string(o))
	return res, nil
}

// distinct is the number of the key that each try used, from 1 on.
func (s *script) distinct() []int {
	seen := map[string]int{}
	var out []int
	for _, k := range s.keys {
		if seen[k] == 0 {
			seen[k] = len(seen) + 1
		}
		out = append(out, seen[k])
	}
	return out
}

var _ = Describe("client", func() {
	DescribeTable("keeps or renews the key", func(ctx SpecContext, want error, keys []int, outcomes ...request.Outcome) {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		s := &script{outcomes: outcomes}
		res, err := caller.New(s, time.Now).Do(limited, &caller.Request{Method: "POST", URL: "https://verify/check"})
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Header.Get(request.HeaderOutcome)).To(Equal("answered"))
		} else {
			Expect(err).To(MatchError(want))
		}
		Expect(s.distinct()[:len(keys)]).To(Equal(keys))
	},
		Entry("answered at once", nil, []int{1}, request.Answered),
		Entry("after a lost connection the same key", nil, []int{1, 1}, request.Outcome(""), request.Answered),
		Entry("after an unknown outcome the same key", nil, []int{1, 1}, request.Unknown, request.Answered),
		Entry("after not run a new key", nil, []int{1, 2}, request.NotRun, request.Answered),
		Entry("after not accepted a new key", nil, []int{1, 2}, request.NotAccepted, request.Answered),
		Entry("not accepted after an unknown outcome: the same key", nil, []int{1, 1, 1}, request.Unknown, request.NotAccepted, request.Answered),
		Entry("not run closes what was unknown before", nil, []int{1, 1, 2}, request.Unknown, request.NotRun, request.Answered),
		Entry("refused to the end", caller.ErrNotRun, []int{1, 2}, request.NotRun, request.NotAccepted, request.NotRun),
		Entry("unknown to the end", caller.ErrOutcomeUnknown, []int{1, 1}, request.Unknown),
		Entry("too old", caller.ErrOutcomeUnknown, []int{1}, request.TooOld),
		Entry("not kept", caller.ErrAnswerNotKept, []int{1}, request.AnswerNotKept),
		Entry("reused", caller.ErrRefused, []int{1}, request.KeyReused),
	)
})
