package flowbalancer

import "time"

const (
	// DefaultMaxFlows is the default limit on the flows that a balancer remembers.
	DefaultMaxFlows = 1 << 16
	// acceptTimeout is how long the first backend server may take to answer an
	// opening packet before the packet goes to another one: a few round trips
	// between failure domains, and well before the caller retransmits.
	acceptTimeout = 70 * time.Millisecond
	// avoidPeriod is how long new flows avoid a backend server that did not
	// answer or declined a flow.
	avoidPeriod = 500 * time.Millisecond
	// maxAttempts limits the backend servers that one opening packet is sent to.
	// The timeout doubles with each, so that retries do not fill a congested link
	// further.
	maxAttempts = 3
	// maxColdTries limits the backend servers that decline one opening packet, of a service
	// whose cold ones have a limit: more than placementCandidates, after which those that
	// are not known to decline were chosen. A whole service that is cold refuses at once.
	maxColdTries = 8
	// placementCandidates is how many of the highest-ranked backend servers a new
	// flow is placed among: enough to spread work nearly as well as a choice among
	// all.
	placementCandidates = 5
	// likelyHolderCount is how many of the highest-ranked agents a search sends
	// the packet to first. It exceeds placementCandidates because backend servers
	// may have been added or removed since the flow was placed.
	likelyHolderCount = 8
	// widenDelay is how long the likely holders may take to answer before a search
	// queries all agents: a few round trips between failure domains.
	widenDelay = 15 * time.Millisecond
	// searchTimeout is how long a search lasts before it starts again. A caller's
	// first two retransmissions fall within it.
	searchTimeout = time.Second
	// flowLifetime is how long an idle flow is remembered.
	flowLifetime = time.Minute
	// closedFlowLifetime is how long a closed flow is remembered for late packets.
	closedFlowLifetime = 3 * time.Second
	// searchAllLimit is the number of agents up to which a search covers the agents
	// of every service, because an earlier configuration may have placed the flow
	// on another service.
	searchAllLimit = 64
	// usualInterval is how often the usual times of a service's requests are taken of
	// the reports.
	usualInterval = 200 * time.Millisecond
	// maxUsualSamples limits the backend servers that they are taken of.
	maxUsualSamples = 64
	// reportLifetime is how long a reported load is used for placement.
	reportLifetime = 3 * time.Second
	// answerTimeout is how long an agent may take to answer a query: many round
	// trips between failure domains.
	answerTimeout = 150 * time.Millisecond
	// queryInterval is how often queries are sent. They are batched because each
	// message costs processor time at the agent and the balancer, and bandwidth on
	// slow links.
	queryInterval = 50 * time.Millisecond
	// searchLinkShare is the fraction of the link that searches may use. The rest
	// is for packets of flows with a known holder.
	searchLinkShare = 0.5
	// searchBurst is the largest burst of searches, as the time that it takes at
	// their share of the link: less than a new flow waits for its backend server's
	// answer.
	searchBurst = 50 * time.Millisecond
	// recipientBytes is the size of a recipient in a search that agents forward.
	recipientBytes = 4
	// maxUnsureFlows limits the flows that wait for the link to send their packet to
	// unsure agents.
	maxUnsureFlows = 1 << 16
	// packetOverhead is the number of bytes added to a packet that is sent to an
	// agent: IP and UDP headers, and the envelope with a service name.
	packetOverhead = 64
	// queryFlowBytes is the size of one flow in a query, including its share of
	// the headers.
	queryFlowBytes = 24
	// recheckInterval is how often a search queries agents again that have not
	// answered.
	recheckInterval = answerTimeout + queryInterval
	// minUnanswered is how many queries an agent must leave unanswered to count as
	// not answering: a single one may have been lost in a short network outage.
	minUnanswered = 2
	// probeDelay is how long this balancer waits without a message from any agent
	// before it probes some. With traffic, each agent reports every 200 ms.
	probeDelay = 300 * time.Millisecond
	// probeInterval is the pause between probes.
	probeInterval = 100 * time.Millisecond
	// probeFanout is how many agents are probed at a time, in case some are down.
	probeFanout = 4
	// endedProbeInterval is how often an agent is probed whose backend server has ended, so
	// that searches need not wait for it anew: less than searchTimeout, for which silence
	// counts.
	endedProbeInterval = 700 * time.Millisecond
	// endedProbesPerTick limits these probes; at 40 bytes each they take 4 KB/s at most.
	endedProbesPerTick = 1
	// isolationTimeout is how long probes may stay unanswered before this balancer
	// reports itself isolated, so that it is taken out of rotation.
	isolationTimeout = 300 * time.Millisecond
	// maxDeferredSearches limits the searches that wait for a newer published state.
	maxDeferredSearches = 4096
	// maxBufferedPackets limits the packets that wait for a usable configuration.
	maxBufferedPackets = 512
	// maxBufferTime is how long an opening packet waits for a usable configuration before
	// the flow is refused: less than callers wait for an answer.
	maxBufferTime = time.Second
	// noticeInterval is the interval of notices to the agents of drained failure domains, one
	// of which may be lost or sent to an agent that has just restarted.
	noticeInterval = time.Second
	// noticeSpan is how long notices go on after a failure domain was taken back.
	noticeSpan = 5 * time.Second
	// noticeSenders is how many of the balancers that are alive send notices to one agent; the
	// second one covers the loss of the first.
	noticeSenders = 2
	// maxNotices limits the notices of an interval, at some 60 bytes each: 4 KB/s. The others
	// follow in the next intervals.
	maxNotices = 64
	// learnedDrainLifetime is how long new flows avoid a failure domain because of an agent
	// that declined one: this balancer receives the newer state long before.
	learnedDrainLifetime = 3 * time.Second
	// maxLearnedAddresses limits the service addresses of learnedHolders.
	maxLearnedAddresses = 4096
)
