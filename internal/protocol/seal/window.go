package seal

// window is a sender's replay window (RFC 6479): a ring of bits, one per counter,
// set once the counter was accepted.
type window struct {
	highest uint64
	bits    [windowBits / 64]uint64
}

// rejects reports whether a counter was already accepted or is below the window.
func (w *window) rejects(counter uint64) bool {
	if counter > w.highest {
		return false
	}
	if w.highest-counter >= windowBits-64 {
		return true
	}
	return w.bits[counter/64%uint64(len(w.bits))]&(1<<(counter%64)) != 0
}

// accept marks a counter as accepted; rejects must have returned false for it.
func (w *window) accept(counter uint64) {
	words := uint64(len(w.bits))
	if counter > w.highest {
		first := w.highest/64 + 1
		last := counter / 64
		if last-w.highest/64 > words {
			first = last - words + 1
		}
		// Clear the words that the window moves onto.
		for i := first; i <= last; i++ {
			w.bits[i%words] = 0
		}
		w.highest = counter
	}
	w.bits[counter/64%words] |= 1 << (counter % 64)
}
