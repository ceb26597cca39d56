package seal

// window tells which of a sender's latest counters were accepted (RFC 6479).
type window struct {
	highest uint64
	bits    [windowBits / 64]uint64
}

// seen says whether a counter was accepted or is too old to tell.
func (w *window) seen(n uint64) bool {
	if n > w.highest {
		return false
	}
	if w.highest-n >= windowBits-64 {
		return true
	}
	return w.bits[n/64%uint64(len(w.bits))]&(1<<(n%64)) != 0
}

// accept marks a counter that was not seen.
func (w *window) accept(n uint64) {
	words := uint64(len(w.bits))
	if n > w.highest {
		first := w.highest/64 + 1
		last := n / 64
		if last-w.highest/64 > words {
			first = last - words + 1
		}
		for i := first; i <= last; i++ {
			w.bits[i%words] = 0
		}
		w.highest = n
	}
	w.bits[n/64%words] |= 1 << (n % 64)
}
