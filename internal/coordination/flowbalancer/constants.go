package flowbalancer

import "time"

const (
	// DefaultFlows bounds the flows that a balancer remembers.
	DefaultFlows = 1 << 16
	// acceptTimeout is how long an opening packet may stay unanswered before
	// another backend server gets it: a few round trips between failure domains,
	// well before the caller's own copy.
	acceptTimeout = 70 * time.Millisecond
	// avoidFor is how long a backend server that did not answer is avoided.
	avoidFor = 500 * time.Millisecond
	// maxTries bounds the backend servers that one opening packet is sent to; the
	// timeout doubles with each, so that a full link is not filled further.
	maxTries = 3
	// choices is how many backend servers rank first for a flow: enough to spread
	// work nearly as well as a choice among all.
	choices = 5
	// likely is how many agents a search asks first: more than choices, since
	// backend servers came and went since a flow was placed.
	likely = 8
	// widenAfter is how long the nearest agents may take to answer a search: a few
	// round trips between failure domains.
	widenAfter = 15 * time.Millisecond
	// searchTimeout is after how long a search starts anew: a caller's first two
	// repeats fall within it.
	searchTimeout = time.Second
	// flowLifetime is how long a silent flow is remembered.
	flowLifetime = time.Minute
	// closedFor is how long a closed flow is remembered for late packets.
	closedFor = 3 * time.Second
	// searchAll is up to how many agents a search asks those of every service,
	// since an earlier configuration may have placed the flow at another one.
	searchAll = 64
	// reportTimeout is how long a reported load counts.
	reportTimeout = 3 * time.Second
	// answerTimeout is how long an agent may take to answer a question: many round
	// trips between failure domains.
	answerTimeout = 150 * time.Millisecond
	// questionsEvery is how often questions are sent: together, since each message
	// costs an agent's and a balancer's processor time and thin links.
	questionsEvery = 50 * time.Millisecond
	// searchShare is the part of the link that searches may take: the rest is for
	// the packets of flows whose holder is known.
	searchShare = 0.5
	// searchBurst is how long searches may be ahead of their part of the link: less
	// than a new flow waits for its backend server's answer.
	searchBurst = 50 * time.Millisecond
	// packetOverhead is what a packet sent to an agent has besides itself: IP and
	// UDP headers, and the envelope with a service's name.
	packetOverhead = 64
	// questionBytes is a question's part of a message, with its part of the headers.
	questionBytes = 24
	// recheckEvery is how often a search is repeated that some agents do not answer.
	recheckEvery = answerTimeout + questionsEvery
	// silentTimeout is after how long the silence of an agent ends searches; a
	// killed process is back in about a second, and a caller waits hardly longer.
	silentTimeout = 600 * time.Millisecond
	// silentAsks is how many questions an agent leaves unanswered before its silence
	// means anything: one may have met a short cut.
	silentAsks = 2
	// probeAfter is after how much silence of all agents some are asked for a
	// report; with traffic, reports come every 200 ms from each.
	probeAfter = 300 * time.Millisecond
	// probeEvery is the pause between probes.
	probeEvery = 100 * time.Millisecond
	// probeFan is how many agents are asked at a time, in case some are down.
	probeFan = 4
	// isolatedAfter is how long probes may stay unanswered until this balancer
	// asks to be taken out of rotation.
	isolatedAfter = 300 * time.Millisecond
	// maxDeferred bounds the searches that wait for a newer published state.
	maxDeferred = 4096
	// maxHeld bounds the packets that wait for the first configuration.
	maxHeld = 512
)
