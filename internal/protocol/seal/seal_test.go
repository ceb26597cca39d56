package seal_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/seal"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestSeal(t *testing.T) { suite.Run(t, "seal") }

// Offsets of the fields in a sealed datagram.
const (
	senderOffset = 2
	nonceOffset  = 14
	checkOffset  = 26
	bodyOffset   = 30
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// clock returns the time that the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// key returns a key whose ID and secret depend on b only.
func key(b byte) seal.Key { return seal.Key{ID: b, Secret: [seal.SecretBytes]byte{b}} }

// ring returns a ring of the keys with the given IDs.
func ring(active byte, ids ...byte) seal.Ring {
	r := seal.Ring{Active: active}
	for _, id := range ids {
		r.Keys = append(r.Keys, key(id))
	}
	return r
}

// newSealer returns a sealer with the given ring, random seed and clock.
func newSealer(c *clock, r seal.Ring, seed uint64) *seal.Sealer {
	var b [32]byte
	binary.BigEndian.PutUint64(b[:], seed)
	s, err := seal.New(r, c.Now, rand.NewChaCha8(b))
	if err != nil {
		panic(err)
	}
	return s
}

var _ = Describe("sealer", func() {
	var (
		c                *clock
		sender, receiver *seal.Sealer
		payload          = []byte("a packet of a caller")
	)
	BeforeEach(func() {
		c = &clock{start}
		sender, receiver = newSealer(c, ring(1, 1), 1), newSealer(c, ring(1, 1), 2)
	})

	It("opens sealed datagrams and counts them", func() {
		p := sender.Seal([]byte("head"), payload)
		Expect(p).To(HaveLen(4 + len(payload) + seal.OverheadBytes))
		Expect(receiver.Open(c.now, p[4:])).To(Equal(payload))
		Expect(sender.Counters().Sealed).To(Equal(uint64(1)))
		Expect(receiver.Counters()).To(Equal(seal.Counters{Opened: 1, Rotations: 1, Senders: 1}))
	})

	It("rejects a flip of any bit and does not add the sender", func() {
		p := sender.Seal(nil, payload)
		for i := range len(p) * 8 {
			q := bytes.Clone(p)
			q[i/8] ^= 1 << (i % 8)
			_, err := receiver.Open(c.now, q)
			Expect(err).To(HaveOccurred(), "bit %d", i)
		}
		n := receiver.Counters()
		Expect(n.Malformed).To(Equal(uint64(8)))
		Expect(n.UnknownKey).To(Equal(uint64(8)))
		Expect(n.Forged).To(Equal(uint64(8 * (len(p) - 2))))
		Expect(n.Senders).To(BeZero())
		Expect(receiver.Open(c.now, p)).To(Equal(payload))
	})

	It("rejects every truncation, and an extension", func() {
		p := sender.Seal(nil, payload)
		for i := range p {
			_, err := receiver.Open(c.now, p[:i])
			want := currantturn.ErrUnauthenticated
			if i < seal.OverheadBytes {
				want = currantturn.ErrMalformed
			}
			Expect(err).To(MatchError(want), "%d bytes", i)
		}
		_, err := receiver.Open(c.now, append(p, 0))
		Expect(err).To(MatchError(currantturn.ErrUnauthenticated))
	})

	It("rejects replays, both within and below the window", func() {
		var sent [][]byte
		for range 5000 {
			sent = append(sent, sender.Seal(nil, payload))
		}
		for i := 0; i < len(sent); i += 2 {
			Expect(receiver.Open(c.now, sent[i])).To(Equal(payload))
		}
		for _, i := range []int{0, 2, 3000, 4998, 1, 2999} {
			_, err := receiver.Open(c.now, sent[i])
			Expect(err).To(MatchError(currantturn.ErrReplayed), "datagram %d", i)
		}
		Expect(receiver.Open(c.now, sent[4997])).To(Equal(payload))
		Expect(receiver.Open(c.now, sent[3101])).To(Equal(payload))
	})

	It("accepts a late datagram within the window after a gap", func() {
		for range 3000 {
			Expect(receiver.Open(c.now, sender.Seal(nil, payload))).To(Equal(payload))
		}
		late := sender.Seal(nil, payload)
		for range 1500 {
			sender.Seal(nil, payload)
		}
		Expect(receiver.Open(c.now, sender.Seal(nil, payload))).To(Equal(payload))
		Expect(receiver.Open(c.now, late)).To(Equal(payload))
	})

	DescribeTable("checks the time stamp against the clock", func(offset time.Duration, accepted bool) {
		p := sender.Seal(nil, payload)
		_, err := receiver.Open(c.now.Add(offset), p)
		if accepted {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(currantturn.ErrReplayed))
		Expect(receiver.Counters().Stale).To(Equal(uint64(1)))
	},
		Entry("fresh", seal.FreshFor, true),
		Entry("stale", seal.FreshFor+time.Millisecond, false),
		Entry("receiver's clock behind", -seal.FreshFor, true),
		Entry("receiver's clock too far behind", -seal.FreshFor-time.Millisecond, false),
	)

	It("rejects a replay to a restarted receiver, but accepts later datagrams", func() {
		p := sender.Seal(nil, payload)
		Expect(receiver.Open(c.now, p)).To(Equal(payload))
		c.now = c.now.Add(time.Second)
		receiver = newSealer(c, ring(1, 1), 3)
		_, err := receiver.Open(c.now, p)
		Expect(err).To(MatchError(currantturn.ErrReplayed))
		Expect(receiver.Counters().BeforeStart).To(Equal(uint64(1)))
		Expect(receiver.Open(c.now, sender.Seal(nil, payload))).To(Equal(payload))
	})

	It("rejects a datagram from before the receiver's restart, also after a later one of its sender", func() {
		p := sender.Seal(nil, payload)
		c.now = c.now.Add(time.Second)
		receiver = newSealer(c, ring(1, 1), 3)
		Expect(receiver.Open(c.now, sender.Seal(nil, payload))).To(Equal(payload))
		_, err := receiver.Open(c.now, p)
		Expect(err).To(MatchError(currantturn.ErrReplayed))
		Expect(receiver.Counters().BeforeStart).To(Equal(uint64(1)))
	})

	It("draws a new sender ID on a restart, so that no nonce is reused under one key", func() {
		again := newSealer(c, ring(1, 1), 4)
		p, q := sender.Seal(nil, payload), again.Seal(nil, payload)
		Expect(p[nonceOffset:checkOffset]).To(Equal(q[nonceOffset:checkOffset]))
		Expect(p[senderOffset:nonceOffset]).NotTo(Equal(q[senderOffset:nonceOffset]))
		Expect(p[bodyOffset+len(payload):]).NotTo(Equal(q[bodyOffset+len(payload):]))
	})

	It("limits the senders kept, evicts the least recently used and rejects their replays", func() {
		idle := newSealer(c, ring(1, 1), 50)
		first, held := idle.Seal(nil, payload), sender.Seal(nil, payload)
		Expect(receiver.Open(c.now, first)).To(Equal(payload))
		for i := range seal.MaxSenders * 5 / 4 {
			c.now = start.Add(time.Duration(i) * time.Second / seal.DerivationsPerSecond / 2)
			Expect(receiver.Open(c.now, newSealer(c, ring(1, 1), uint64(100+i)).Seal(nil, payload))).To(Equal(payload))
			if i%100 == 0 {
				Expect(receiver.Open(c.now, sender.Seal(nil, payload))).To(Equal(payload))
			}
		}
		Expect(receiver.Counters().Senders).To(BeNumerically("<=", seal.MaxSenders))
		Expect(receiver.Counters().Senders).To(BeNumerically(">", seal.MaxSenders*9/10))
		_, err := receiver.Open(c.now, first)
		Expect(err).To(MatchError(currantturn.ErrReplayed))
		Expect(receiver.Open(c.now, held)).To(Equal(payload))
		c.now = c.now.Add(time.Second)
		Expect(receiver.Open(c.now, idle.Seal(nil, payload))).To(Equal(payload))
	})

	It("derives no key for a forged sender ID, and a limited number for a captured header", func() {
		p := sender.Seal(nil, payload)
		for i := range uint64(100) {
			q := bytes.Clone(p)
			binary.BigEndian.PutUint64(q[senderOffset:], i)
			_, err := receiver.Open(c.now, q)
			Expect(err).To(MatchError(currantturn.ErrUnauthenticated))
		}
		Expect(receiver.Counters().Throttled).To(BeZero())
		p[len(p)-1]++
		for range seal.DerivationBurst + 7 {
			_, err := receiver.Open(c.now, p)
			Expect(err).To(MatchError(currantturn.ErrUnauthenticated))
		}
		Expect(receiver.Counters().Throttled).To(Equal(uint64(7)))
		Expect(receiver.Counters().Senders).To(BeZero())
	})

	It("accepts both keys during a rotation and rejects the old one after it", func() {
		old := sender.Seal(nil, payload)
		Expect(receiver.Rotate(ring(1, 1, 2))).To(Succeed())
		Expect(receiver.Open(c.now, old)).To(Equal(payload))
		Expect(sender.Rotate(ring(2, 1, 2))).To(Succeed())
		p := sender.Seal(nil, payload)
		Expect(receiver.Open(c.now, p)).To(Equal(payload))
		_, err := receiver.Open(c.now, old)
		Expect(err).To(MatchError(currantturn.ErrReplayed))

		Expect(receiver.Rotate(ring(1, 1, 2))).To(Succeed())
		Expect(receiver.Counters()).To(HaveField("Rotations", uint64(2)), "an unchanged ring does not count as a rotation")

		late := newSealer(c, ring(1, 1), 5).Seal(nil, payload)
		Expect(receiver.Rotate(ring(2, 2))).To(Succeed())
		_, err = receiver.Open(c.now, late)
		Expect(err).To(MatchError(currantturn.ErrUnauthenticated))
		Expect(receiver.Counters()).To(HaveField("UnknownKey", uint64(1)))
		Expect(receiver.Counters()).To(HaveField("Senders", 1))
		_, err = receiver.Open(c.now, p)
		Expect(err).To(MatchError(currantturn.ErrReplayed))

		Expect(receiver.Rotate(ring(1, 1, 2))).To(Succeed())
		_, err = receiver.Open(c.now, old)
		Expect(err).To(MatchError(currantturn.ErrReplayed), "replays stay rejected when a removed key is valid again")
	})

	// A key is withdrawn because others may have it; whatever was sealed with it, before or
	// after, is worth nothing, also to a process that never saw the withdrawal.
	It("rejects a withdrawn key after a restart of the receiver, of the sender and of both", func() {
		before := sender.Seal(nil, payload)
		for _, seed := range []uint64{7, 8} {
			c.now = c.now.Add(time.Millisecond)
			receiver = newSealer(c, ring(2, 2), seed)
			for _, p := range [][]byte{before, sender.Seal(nil, payload), newSealer(c, ring(1, 1), seed+10).Seal(nil, payload), newSealer(c, ring(1, 1, 2), seed+20).Seal(nil, payload)} {
				_, err := receiver.Open(c.now, p)
				Expect(err).To(MatchError(currantturn.ErrUnauthenticated))
			}
			Expect(receiver.Counters()).To(HaveField("UnknownKey", uint64(4)))
			Expect(receiver.Open(c.now, newSealer(c, ring(2, 1, 2), seed+30).Seal(nil, payload))).To(Equal(payload))
		}
	})

	It("rejects another fleet's secret under the same ID", func() {
		other := seal.Ring{Active: 1, Keys: []seal.Key{{ID: 1, Secret: [seal.SecretBytes]byte{9}}}}
		_, err := receiver.Open(c.now, newSealer(c, other, 6).Seal(nil, payload))
		Expect(err).To(MatchError(currantturn.ErrUnauthenticated))
		Expect(receiver.Rotate(other)).To(MatchError(currantturn.ErrMalformed))
		Expect(receiver.Open(c.now, sender.Seal(nil, payload))).To(Equal(payload))
	})

	It("does not allocate per datagram", func() {
		sealed := make([]byte, 0, 2048)
		body := make([]byte, 1200)
		Expect(testing.AllocsPerRun(1000, func() {
			sealed = sender.Seal(sealed[:0], body)
			if _, err := receiver.Open(c.now, sealed); err != nil {
				panic(err)
			}
		})).To(BeZero())
		Expect(testing.AllocsPerRun(1000, func() { _, _ = receiver.Open(c.now, sealed) })).To(BeZero())
	})

	It("accepts each datagram at most once under any order, restarts and rotations", func() {
		rapid.Check(GinkgoT(), checkAtMostOnce)
	})
})

// checkAtMostOnce compares the receiver with a model that stores every accepted
// datagram.
func checkAtMostOnce(t *rapid.T) {
	c := &clock{start}
	rings := []seal.Ring{ring(1, 1), ring(1, 1, 2), ring(2, 1, 2), ring(2, 2)}
	senders := []*seal.Sealer{newSealer(c, rings[0], 1), newSealer(c, rings[0], 2), newSealer(c, rings[0], 3)}
	receiver := newSealer(c, rings[0], 4)
	restarted := start
	type sent struct {
		p  []byte
		at time.Time
	}
	var datagrams []sent
	accepted := map[int]bool{}
	seed, phase := uint64(10), 0
	t.Repeat(map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			i := rapid.IntRange(0, len(senders)-1).Draw(t, "sender")
			datagrams = append(datagrams, sent{senders[i].Seal(nil, []byte{byte(len(datagrams))}), c.now})
		},
		"deliver": func(t *rapid.T) {
			if len(datagrams) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(datagrams)-1).Draw(t, "datagram")
			body, err := receiver.Open(c.now, datagrams[i].p)
			valid := phase < 3 || datagrams[i].p[1] == 2
			fresh := !datagrams[i].at.Before(restarted) && c.now.Sub(datagrams[i].at) <= seal.FreshFor
			if want := valid && fresh && !accepted[i]; want != (err == nil) {
				t.Fatalf("datagram %d: accepted %v, want %v: %v", i, err == nil, want, err)
			}
			if err == nil && !bytes.Equal(body, []byte{byte(i)}) {
				t.Fatalf("datagram %d opened to the wrong payload %v", i, body)
			}
			accepted[i] = accepted[i] || err == nil
		},
		"wait": func(t *rapid.T) {
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"restart receiver": func(*rapid.T) {
			seed++
			c.now = c.now.Add(time.Millisecond)
			receiver, restarted = newSealer(c, rings[phase], seed), c.now
		},
		"rotate": func(t *rapid.T) {
			if phase == len(rings)-1 {
				t.Skip()
			}
			phase++
			for _, s := range append(senders, receiver) {
				if s.Rotate(rings[phase]) != nil {
					t.Fatal("valid rotation failed")
				}
			}
		},
	})
}

var _ = DescribeTable("key file", func(text string, active int, reason string) {
	r, err := seal.ParseRing([]byte(strings.ReplaceAll(text, "HEX", strings.Repeat("0a", 32))))
	if reason != "" {
		Expect(err).To(MatchError(currantturn.ErrMalformed))
		Expect(err).To(MatchError(ContainSubstring(reason)))
		Expect(err.Error()).NotTo(ContainSubstring("0a0a"))
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Active).To(BeEquivalentTo(active))
	Expect(r.Keys[0].Secret[31]).To(Equal(byte(10)))
},
	Entry("one key", "[keys]\nactive = 7\n7 = HEX\n", 7, ""),
	Entry("two keys", "[keys]\nactive = 8\n7 = HEX\n8 = HEX\n", 8, ""),
	Entry("three keys", "[keys]\nactive = 8\n7 = HEX\n8 = HEX\n9 = HEX\n", 0, "3 keys"),
	Entry("no key", "[keys]\nactive = 8\n", 0, "0 keys"),
	Entry("active key not listed", "[keys]\nactive = 8\n7 = HEX\n", 0, "active key 8"),
	Entry("ID listed twice", "[keys]\nactive = 7\n7 = HEX\n07 = HEX\n", 0, "twice"),
	Entry("short secret", "[keys]\nactive = 7\n7 = 0a0a\n", 0, "32 bytes"),
	Entry("not hexadecimal", "[keys]\nactive = 7\n7 = xHEX\n", 0, "32 bytes"),
	Entry("ID out of range", "[keys]\nactive = 7\n256 = HEX\n", 0, "0 to 255"),
	Entry("not INI", "\x00[", 0, "INI"),
)

func FuzzOpen(f *testing.F) {
	c := &clock{start}
	sender, receiver := newSealer(c, ring(1, 1), 1), newSealer(c, ring(1, 1), 2)
	f.Add(sender.Seal(nil, nil))
	f.Add(sender.Seal(nil, []byte("payload")))
	f.Add([]byte{1, 1})
	sealed := sender.Seal(nil, []byte("accepted once"))
	if _, err := receiver.Open(c.now, sealed); err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Fuzz(func(t *testing.T, p []byte) {
		body, err := receiver.Open(c.now, p)
		if err == nil && len(body) != len(p)-seal.OverheadBytes {
			t.Fatalf("datagram of %d bytes opened to %d bytes", len(p), len(body))
		}
		if err == nil {
			if _, err = receiver.Open(c.now, p); err == nil {
				t.Fatal("datagram accepted twice")
			}
		}
	})
}

func BenchmarkSealer(b *testing.B) {
	for _, size := range []int{64, 256, 1200} {
		c := &clock{start}
		body := make([]byte, size)
		b.Run(fmt.Sprintf("seal/bytes=%d", size), func(b *testing.B) {
			s := newSealer(c, ring(1, 1), 1)
			dst := make([]byte, 0, 2048)
			b.ReportAllocs()
			for b.Loop() {
				dst = s.Seal(dst[:0], body)
			}
		})
		b.Run(fmt.Sprintf("seal_and_open/bytes=%d", size), func(b *testing.B) {
			sender, receiver := newSealer(c, ring(1, 1), 1), newSealer(c, ring(1, 1), 2)
			dst := make([]byte, 0, 2048)
			b.ReportAllocs()
			for b.Loop() {
				dst = sender.Seal(dst[:0], body)
				if _, err := receiver.Open(c.now, dst); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("open_forged/bytes=%d", size), func(b *testing.B) {
			receiver := newSealer(c, ring(1, 1), 2)
			p := newSealer(c, ring(1, 1), 1).Seal(nil, body)
			p[checkOffset]++
			b.ReportAllocs()
			for b.Loop() {
				_, _ = receiver.Open(c.now, p)
			}
		})
	}
}
