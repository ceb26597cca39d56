package request_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/currantturn/currantturn"
	protocol "github.com/currantturn/currantturn/internal/protocol/request"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unsizedBody hides the length of a body from the HTTP client.
type unsizedBody struct{ io.Reader }

var _ = Describe("an answer from a peer", func() {
	DescribeTable("that breaks off is not relayed as complete", func(ctx SpecContext, path string) {
		f := newFleet(2, 3)
		f.agents[0].gate.SetLeaving(true)
		res, body, err := f.send(ctx, 0, "GET", path, "")
		Expect(f.agents[1].runs.Load()).To(BeEquivalentTo(1))
		Expect(err != nil || outcome(res) == "outcome_unknown").To(BeTrue(), "%d bytes were relayed as a complete answer", len(body))
	},
		Entry("with a Content-Length", "/cut", SpecTimeout(10*time.Second)),
		Entry("with chunked encoding", "/cut-chunked", SpecTimeout(10*time.Second)),
	)
})

var _ = Describe("a request body", func() {
	const size = 1 << 20

	// post sends a body of unknown length to an agent and returns the outcome and the answer.
	post := func(ctx context.Context, f *fleet, body []byte) (string, string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.agents[0].callerServer.Addr().String()+"/check", unsizedBody{bytes.NewReader(body)})
		Expect(err).NotTo(HaveOccurred())
		res, err := f.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		answer, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		return outcome(res), string(answer)
	}

	// spill posts a body while the only slot of the agent's own backend server is in use
	// and its peer has free ones, and frees the slot once the request waits for it.
	spill := func(ctx context.Context, f *fleet, body []byte) (result, answer string) {
		a := f.agents[0]
		held := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(held)
			_, _, err := f.send(ctx, 0, "GET", "/hold", "")
			Expect(err).NotTo(HaveOccurred())
		}()
		Eventually(func() int { return a.gate.Load(time.Now()).Running }).Should(Equal(1))
		a.gate.SetPeerLoad(time.Now(), "verify-1", currantturn.Load{Slots: 3})
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			result, answer = post(ctx, f, body)
		}()
		Eventually(ctx, func() bool {
			select {
			case <-done:
				return true
			default:
				return a.gate.Load(time.Now()).Queued == 1
			}
		}).Should(BeTrue())
		close(a.release)
		Eventually(ctx, done).Should(BeClosed())
		Eventually(ctx, held).Should(BeClosed())
		return result, answer
	}

	// The peer refuses after a part of the body was sent to it, which leaves only the
	// rest to be sent to this agent's own backend server.
	It("that a peer of another service read a part of never reaches a backend server shortened", func(ctx SpecContext) {
		f := newFleet(2, 1)
		f.agents[1].refuseAfter.Store(64 << 10)
		result, _ := spill(ctx, f, make([]byte, size))
		Expect(result).To(Equal("not_run"))
		Expect(f.agents[0].runs.Load()+f.agents[1].runs.Load()).To(BeEquivalentTo(1), "only the request that held the slot")
	}, SpecTimeout(20*time.Second))

	It("that no peer could be sent reaches the agent's own backend server whole", func(ctx SpecContext) {
		f := newFleet(2, 1)
		Expect(f.agents[1].peerServer.Close()).To(Succeed())
		result, answer := spill(ctx, f, bytes.Repeat([]byte("x"), 1000))
		Expect(result).To(Equal("answered"))
		Expect(answer).To(HaveLen(len("/check ") + 1000))
	}, SpecTimeout(30*time.Second))

	It("that its caller breaks off does not end like a whole one at the backend server", func(ctx SpecContext) {
		f := newFleet(2, 1)
		for _, leaving := range []bool{false, true} { // the second request passes the peer
			f.agents[0].gate.SetLeaving(leaving)
			body, writer := io.Pipe()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.agents[0].callerServer.Addr().String()+"/check", body)
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set(sizeHeader, strconv.Itoa(size))
			go func() {
				_, _ = writer.Write(make([]byte, size/2))
				_ = writer.CloseWithError(io.ErrUnexpectedEOF)
			}()
			res, err := f.client.Do(r)
			if err == nil {
				_ = res.Body.Close()
			}
		}
		Eventually(func() int {
			return f.agents[0].gate.Load(time.Now()).Running + f.agents[1].gate.Load(time.Now()).Running
		}).Should(BeZero())
		Expect(f.agents[0].shortened.Load() + f.agents[1].shortened.Load()).To(BeZero())
	}, SpecTimeout(20*time.Second))

	It("above the limit leaves the account of buffered bytes as it was", func(ctx SpecContext) {
		f := newFleet(1, 3)
		for range 3 {
			res, _, err := f.send(ctx, 0, "POST", "/check", string(make([]byte, 9<<20)), protocol.HeaderKey, newKey())
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome(res)).To(Equal("malformed"))
		}
		Eventually(func() int64 { return f.agents[0].handler.Counters().HeldBytes }).Should(BeZero())
	}, SpecTimeout(20*time.Second))
})
