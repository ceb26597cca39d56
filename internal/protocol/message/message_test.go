package message_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMessage(t *testing.T) { suite.Run(t, "message") }

type sample struct {
	Peer netip.AddrPort `cbor:"peer"`
	At   time.Time      `cbor:"at"`
	Text string         `cbor:"text"`
}

func (sample) Kind() currantturn.Kind { return "test_sample" }

var _ = Describe("control message codec", func() {
	message.Register[sample]()

	It("decodes the messages it encodes", func() {
		in := sample{Peer: netip.MustParseAddrPort("127.0.0.1:9"), At: time.UnixMicro(1700000000000001), Text: "x"}
		p, err := message.Encode(in)
		Expect(err).NotTo(HaveOccurred())
		m, err := message.Decode(p)
		Expect(err).NotTo(HaveOccurred())
		out := m.(sample)
		Expect(out.Peer).To(Equal(in.Peer))
		Expect(out.At.Equal(in.At)).To(BeTrue())
	})

	It("rejects oversized messages, truncated input and unknown kinds", func() {
		_, err := message.Encode(sample{Text: strings.Repeat("x", message.MaxBytes)})
		Expect(err).To(MatchError(currantturn.ErrTooLarge))
		p, _ := message.Encode(sample{Text: "x"})
		_, err = message.Decode(p[:len(p)-1])
		Expect(err).To(MatchError(currantturn.ErrMalformed))
		_, err = message.Decode([]byte{0x82, 0x61, 'q', 0xa0})
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	})
})
