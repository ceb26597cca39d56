package connid_test

import (
	"math/rand/v2"
	"testing"

	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/connid"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConnID(t *testing.T) { suite.Run(t, "connid") }

var (
	oldKey = [connid.KeyBytes]byte{1}
	newKey = [connid.KeyBytes]byte{2}
)

// generate returns n connection IDs of the backend server verify-1.
func generate(c *connid.Codec, n int) (ids [][]byte) {
	g := connid.NewGenerator(c, rank.Seed("verify-1"), rand.NewChaCha8([32]byte{7}))
	for range n {
		id, err := g.GenerateConnectionID()
		Expect(err).NotTo(HaveOccurred())
		Expect(id.Len()).To(Equal(g.ConnectionIDLen()))
		ids = append(ids, append([]byte(nil), id.Bytes()...))
	}
	return ids
}

var _ = Describe("connection ID", func() {
	It("decodes to its backend server, also after a key rotation", func() {
		for _, id := range generate(connid.NewCodec(oldKey), 100) {
			c := connid.NewCodec(newKey, oldKey)
			Expect(c.DecryptSeed(1, id)).To(Equal(rank.Seed("verify-1")))
			Expect(c.DecryptSeed(0, id)).NotTo(Equal(rank.Seed("verify-1")))
		}
	})

	It("is unique, and decodes to another seed after a bit flip", func() {
		c := connid.NewCodec(newKey)
		seen := map[string]bool{}
		for _, id := range generate(c, 1000) {
			Expect(seen).NotTo(HaveKey(string(id)))
			seen[string(id)] = true
			id[len(seen)%connid.Bytes] ^= 1 << (len(seen) % 8)
			Expect(c.DecryptSeed(0, id)).NotTo(Equal(rank.Seed("verify-1")))
		}
	})

	DescribeTable("is read from a packet", func(p, want []byte) {
		Expect(connid.DestinationID(p)).To(Equal(want))
	},
		Entry("short header", append([]byte{0x40}, "0123456789abcdefpayload"...), []byte("0123456789abcdef")),
		Entry("truncated short header", append([]byte{0x40}, "0123456789abcde"...), nil),
		Entry("long header", append([]byte{0xc0, 0, 0, 0, 1, 4}, "abcdrest"...), []byte("abcd")),
		Entry("truncated long header", append([]byte{0xc0, 0, 0, 0, 1, 4}, "abc"...), nil),
		Entry("not QUIC", append([]byte{0x00}, "0123456789abcdefpayload"...), nil),
		Entry("empty", nil, nil),
	)
})

func BenchmarkSeed(b *testing.B) {
	c := connid.NewCodec(newKey)
	id := make([]byte, connid.Bytes)
	b.ReportAllocs()
	for range b.N {
		c.DecryptSeed(0, id)
	}
}
