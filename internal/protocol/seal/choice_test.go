package seal_test

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"golang.org/x/crypto/blake2b"
	"golang.org/x/crypto/chacha20poly1305"
)

// BenchmarkChoice compares GMAC, which Sealer uses, with other authenticators.
func BenchmarkChoice(b *testing.B) {
	var secret [32]byte
	block, _ := aes.NewCipher(secret[:])
	gcm, _ := cipher.NewGCM(block)
	poly, _ := chacha20poly1305.New(secret[:])
	blake, _ := blake2b.New256(secret[:])
	mac := hmac.New(sha256.New, secret[:])
	for _, size := range []int{64, 256, 1200} {
		p := make([]byte, size)
		dst := make([]byte, 0, 64)
		nonce := make([]byte, 12)
		authenticators := map[string]func(){
			"gmac":        func() { gcm.Seal(dst, nonce, nil, p) },
			"poly1305":    func() { poly.Seal(dst, nonce, nil, p) },
			"hmac_sha256": func() { mac.Reset(); mac.Write(p); mac.Sum(dst) },
			"blake2b":     func() { blake.Reset(); blake.Write(p); blake.Sum(dst) },
		}
		for _, name := range []string{"gmac", "poly1305", "hmac_sha256", "blake2b"} {
			b.Run(fmt.Sprintf("%s/bytes=%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					authenticators[name]()
				}
			})
		}
	}
}

// BenchmarkSender measures the time and memory that each new sender costs the
// receiver.
func BenchmarkSender(b *testing.B) {
	const senders = 10000
	c := &clock{start}
	sent := make([][]byte, senders)
	for i := range sent {
		sent[i] = newSealer(c, ring(1, 1), uint64(i)).Seal(nil, nil)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		b.StopTimer()
		receiver := newSealer(c, ring(1, 1), 1<<40)
		runtime.GC()
		runtime.ReadMemStats(&before)
		b.StartTimer()
		for _, p := range sent {
			if _, err := receiver.Open(c.now, p); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		if receiver.Counters().Senders != senders {
			b.Fatal("receiver does not keep all senders")
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/senders, "B/sender")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/senders, "ns/sender")
}
