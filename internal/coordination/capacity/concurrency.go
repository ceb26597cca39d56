package capacity

import (
	"math"
	"time"
)

// Concurrency estimates how many requests at once a backend server takes well: the
// number above which it answers no more in the same time, so that requests in
// progress only delay each other. It starts from the slots and falls on evidence. When
// the evidence has aged, one level more is tried for half of each window until it is
// clear whether that gains anything. When all slots have been busy for long, fewer are
// tried in the same way. It is not safe for concurrent use.
type Concurrency struct {
	slots       int
	level       int // the highest that is used
	trial       int // the highest that is used in the second half of each window
	busyWindows int // windows since fewer requests were in progress than at probeLevel; negative after a probe
	inProgress  int
	lastChange  time.Time
	windowStart time.Time
	window      [maxLevels]exposure     // by level, of the present window
	splits      [maxLevels]splitAverage // compares the rates above and up to each level
}

// exposure is how long a number of requests was in progress, and what was answered.
type exposure struct {
	seconds float64
	answers float64
	work    float64 // seconds, times the number of requests in progress
}

// add adds another exposure.
func (e *exposure) add(other exposure) {
	e.seconds += other.seconds
	e.answers += other.answers
	e.work += other.work
}

// splitAverage compares the rate of answers above a level with that just below, by the
// Mantel-Haenszel estimator over windows.
type splitAverage struct {
	above, below     float64 // their quotient is the ratio of the rates
	variance         float64
	concurrencyAbove float64 // weighted sums of the requests in progress
	concurrencyBelow float64
}

// SetSlots sets the number of requests that the backend server may run at once. The
// estimate starts anew if it changes.
func (c *Concurrency) SetSlots(slots int) {
	if slots == c.slots {
		return
	}
	level := min(slots, maxLevels) - 1
	*c = Concurrency{slots: slots, level: level, trial: level, inProgress: c.inProgress}
}

// Slots returns the number of requests that the backend server may run at once, 0 if
// it is unknown.
func (c *Concurrency) Slots() int { return c.slots }

// Started counts a request that starts.
func (c *Concurrency) Started(now time.Time) {
	c.advance(now)
	c.inProgress++
}

// Answered counts a request that ends with an answer.
func (c *Concurrency) Answered(now time.Time) {
	c.advance(now)
	if level, ok := c.levelInProgress(); ok {
		c.window[level].answers++
	}
	c.inProgress--
}

// Dropped counts a request that ends without an answer.
func (c *Concurrency) Dropped(now time.Time) {
	c.advance(now)
	c.inProgress--
}

// InProgress returns the number of requests in progress.
func (c *Concurrency) InProgress() int { return c.inProgress }

// Limit returns how many requests at once the backend server takes well, from 1 to its
// slots; 0 if the slots are unknown.
func (c *Concurrency) Limit(now time.Time) int {
	c.advance(now)
	if c.slots == 0 {
		return 0
	}
	if now.Sub(c.windowStart) >= windowLength/2 {
		return c.upperEnd(c.trial)
	}
	return c.upperEnd(c.level)
}

// Learned returns the limit without the trials of a level more or fewer slots.
func (c *Concurrency) Learned(now time.Time) int {
	c.advance(now)
	if c.slots == 0 {
		return 0
	}
	return c.upperEnd(c.level)
}

// levelInProgress returns the level of the requests in progress. Requests beyond the slots
// wait in the backend server's own queue, which tells nothing about its slots.
func (c *Concurrency) levelInProgress() (int, bool) {
	if c.inProgress < 1 || c.inProgress > c.slots {
		return 0, false
	}
	return (c.inProgress*c.levels() - 1) / c.slots, true
}

// levels returns the number of levels.
func (c *Concurrency) levels() int { return min(c.slots, maxLevels) }

// upperEnd returns the highest number of requests of a level.
func (c *Concurrency) upperEnd(level int) int { return (level + 1) * c.slots / c.levels() }

// advance adds the time since the last change to the window, and ends the window if it
// is over.
func (c *Concurrency) advance(now time.Time) {
	if c.lastChange.IsZero() {
		c.lastChange, c.windowStart = now, now
		return
	}
	if elapsed := now.Sub(c.lastChange).Seconds(); elapsed > 0 {
		if level, ok := c.levelInProgress(); ok {
			c.window[level].add(exposure{seconds: elapsed, work: elapsed * float64(c.inProgress)})
		}
		c.lastChange = now
	}
	if windows := int(now.Sub(c.windowStart) / windowLength); windows > 0 {
		c.endWindow(windows)
		c.windowStart = now
	}
}

// endWindow adds the window to the evidence and sets the level. windows is the number
// of window lengths since its start.
func (c *Concurrency) endWindow(windows int) {
	decay := math.Pow(windowDecay, float64(windows))
	top := c.levels() - 1
	for level := range top {
		c.splits[level].decay(decay)
		c.splits[level].add(c.around(level))
	}
	c.adjustLevel(top)
	c.trial = c.level
	switch {
	case c.probes():
		c.trial = c.probeLevel()
	case c.level < top && c.splits[c.level].verdict() == unclear:
		c.trial++
	}
	c.window = [maxLevels]exposure{}
}

// adjustLevel sets the level by the evidence.
func (c *Concurrency) adjustLevel(top int) {
	if c.level < top && c.splits[c.level].verdict() == gains {
		c.level++
	}
	for level := range c.level {
		if c.splits[level].verdict() == gainsNothing {
			c.level = level
			c.busyWindows = min(c.busyWindows, probeAfter) // a probe goes on with fewer
			return
		}
	}
}

// probeLevel returns the level that is tried when all slots are busy.
func (c *Concurrency) probeLevel() int { return max(c.level-1, 0) / 2 }

// probes reports whether fewer slots are to be tried in the next window: they have been
// busy for long, and it is unclear what fewer would do. A backend server that many
// requests slow down would otherwise never be seen with few.
func (c *Concurrency) probes() bool {
	below, above := c.around(c.probeLevel())
	c.busyWindows++
	if c.level == 0 || above.seconds == 0 || below.seconds > 0 && c.busyWindows <= probeAfter {
		c.busyWindows = min(c.busyWindows, 0)
		return false
	}
	if c.busyWindows < probeAfter {
		return false
	}
	if c.busyWindows >= probeAfter+probeWindows || c.splits[c.probeLevel()].verdict() != unclear {
		c.busyWindows = -probePause
		return false
	}
	return true
}

// around returns the exposure above a level, and that in the upper half up to it.
func (c *Concurrency) around(level int) (below, above exposure) {
	for i := (level + 1) / 2; i <= level; i++ {
		below.add(c.window[i])
	}
	for i := level + 1; i < c.levels(); i++ {
		above.add(c.window[i])
	}
	return below, above
}

// decay lets the evidence age.
func (s *splitAverage) decay(factor float64) {
	s.above *= factor
	s.below *= factor
	s.variance *= factor
	s.concurrencyAbove *= factor
	s.concurrencyBelow *= factor
}

// add adds the exposures of one window. One without either side tells nothing.
func (s *splitAverage) add(below, above exposure) {
	total := below.seconds + above.seconds
	if below.seconds == 0 || above.seconds == 0 {
		return
	}
	weight := below.seconds * above.seconds / total
	s.above += above.answers * below.seconds / total
	s.below += below.answers * above.seconds / total
	s.variance += (above.answers + below.answers) * weight / total
	s.concurrencyAbove += weight * above.work / above.seconds
	s.concurrencyBelow += weight * below.work / below.seconds
	if s.above <= 0 || s.below <= 0 {
		return
	}
	if s.complete() {
		e := s.standardError() / minError
		s.decay(e * e)
	}
}

// verdict is what the evidence shows of the requests above a level.
type verdict string

const (
	unclear      verdict = "unclear"
	gains        verdict = "gains"
	gainsNothing verdict = "gains nothing"
)

// verdict compares the gain of the rate above the level with minGain of the gain in
// proportion to the requests in progress.
func (s *splitAverage) verdict() verdict {
	if s.above <= 0 || s.below <= 0 {
		return unclear
	}
	proportional := s.concurrencyAbove / s.concurrencyBelow
	wanted := math.Log(1 + minGain*(proportional-1))
	gain, margin := math.Log(s.above/s.below), confidence*s.standardError()
	switch {
	case gain+margin < wanted:
		return gainsNothing
	case gain-margin > wanted, gain > wanted && s.complete():
		return gains
	default:
		return unclear
	}
}

// standardError returns the standard error of the logarithm of the ratio.
func (s *splitAverage) standardError() float64 {
	return math.Sqrt(s.variance / (s.above * s.below))
}

// complete reports whether there is as much evidence as is kept.
func (s *splitAverage) complete() bool { return s.standardError() <= minError }
