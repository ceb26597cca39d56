package capacity

import "time"

const (
	// MaxKinds limits the kinds of requests whose times are kept; the one without
	// answers for the longest time makes room.
	MaxKinds = 8
	// sampleCount is the number of newest samples of a kind that its time is taken of.
	sampleCount = 64
	// minSamples is the number of samples from which the time of a kind is known.
	minSamples = 8
	// sampleLifetime is how long a sample counts.
	sampleLifetime = 4 * time.Second
	// rareLifetime is how long a sample counts if there are no more than minSamples. A slow
	// backend server gets little work.
	rareLifetime = 10 * time.Second
	// maxPause is the pause between answers after which earlier samples no longer count.
	maxPause = 2 * time.Second
	// quantile is the share of answers that took at most the time of a kind. Rare long
	// requests do not move it, and a backend server that fails up to half of its
	// requests at once does not look much faster.
	quantile = 0.75
	// shortDivisor is the part of the time of a kind below which an answer came far too
	// early.
	shortDivisor = 4

	// maxLevels limits the numbers of requests in progress that are told apart; with
	// more slots, several numbers share a level.
	maxLevels = 16
	// windowLength is the length of a window. Rates are compared only within a window,
	// so that a backend server's change of speed does not look like an effect of
	// the requests in progress.
	windowLength = 500 * time.Millisecond
	// windowDecay is the factor by which the evidence of earlier windows shrinks with
	// each window; it halves in about five seconds.
	windowDecay = 0.93
	// minGain is the share of a proportional rise of the rate that slots have to bring
	// to be used.
	minGain = 0.25
	// confidence is the number of standard errors by which the gain must differ from
	// minGain. A backend server whose slots do not disturb each other lies far above it.
	confidence = 1
	// minError is the smallest standard error of the logarithm of a ratio of rates. More
	// evidence displaces older evidence, so that the estimate can change within seconds.
	minError = 0.12
	// probeAfter is the number of windows with busy slots after which fewer are tried:
	// longer than a burst. A probe takes at most probeWindows, and the next one follows
	// after probePause windows more.
	probeAfter   = 20
	probeWindows = 8
	probePause   = 40
)
