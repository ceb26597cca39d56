package envelope_test

import (
	"net/netip"
	"testing"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/envelope"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEnvelope(t *testing.T) { suite.Run(t, "envelope") }

func sample() currantturn.Envelope {
	return currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Intent:    currantturn.IntentPlace,
		Service:   "verify",
		Version:   7,
		Balancer:  netip.MustParseAddrPort("127.0.0.1:7000"),
		Ranks:     [currantturn.MaxRanks]currantturn.BackendID{"verify-1", "verify-2"},
		Packet: currantturn.Packet{
			Flow: currantturn.FlowKey{
				Caller:  netip.MustParseAddrPort("10.0.0.1:5000"),
				Service: netip.MustParseAddrPort("[2001:db8::1]:443"),
			},
			Mark:    currantturn.MarkOpening,
			Payload: []byte("payload"),
		},
	}
}

var _ = Describe("envelope", func() {
	It("decodes the envelopes it encodes", func() {
		in := sample()
		p, err := envelope.Append(nil, &in)
		Expect(err).NotTo(HaveOccurred())
		var out currantturn.Envelope
		Expect(envelope.Decode(p, nil, &out)).To(Succeed())
		Expect(out).To(Equal(in))
	})

	It("rejects a header truncated at any length", func() {
		in := sample()
		in.Packet.Payload = nil
		p, _ := envelope.Append(nil, &in)
		for n := range len(p) {
			var out currantturn.Envelope
			Expect(envelope.Decode(p[:n], nil, &out)).To(MatchError(currantturn.ErrMalformed))
		}
	})
})

func FuzzDecode(f *testing.F) {
	in := sample()
	p, _ := envelope.Append(nil, &in)
	f.Add(p)
	f.Fuzz(func(t *testing.T, p []byte) {
		var e currantturn.Envelope
		if envelope.Decode(p, nil, &e) != nil {
			return
		}
		again, err := envelope.Append(nil, &e)
		if err != nil || len(again) != len(p) {
			t.Fatalf("decoded envelope encodes to %d bytes, want %d: %v", len(again), len(p), err)
		}
	})
}
