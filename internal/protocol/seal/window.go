package seal

// window tells which of a sender's latest counters were accepted (RFC 6479).
type window struct {
	highest uint64
	bits    [windowBits / 64]uint64
}

// rejects says whether a counter was accepted or is too old to tell.
func (w *window) rejects(counter uint64) bool {
	if counter > w.highest {
		return false
	}
	if w.highest-counter >= windowBits-64 {
		return true
	}
	return w.bits[counter/64%uint64(len(w.bits))]&(1<<(counter%64)) != 0
}

// accept marks a counter that was not seen.
func (w *window) accept(counter uint64) {
	words := uint64(len(w.bits))
	if counter > w.highest {
		first := w.highest/64 + 1
		last := counter / 64
		if last-w.highest/64 > words {
			first = last - words + 1
		}
		for i := first; i <= last; i++ {
			w.bits[i%words] = 0
		}
		w.highest = counter
	}
	w.bits[counter/64%words] |= 1 << (counter % 64)
}
