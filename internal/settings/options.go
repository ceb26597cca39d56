package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// EntryKind says how callers' packets reach a balancer.
type EntryKind string

// Kinds of entry.
const (
	EntryDirect EntryKind = "direct" // packets keep the caller's address
	EntryProxy  EntryKind = "proxy"  // a PROXY protocol v2 header carries it
)

// Options are the settings of one process; the sections of the other role stay zero.
type Options struct {
	Process  Process
	Platform Platform
	Link     Link
	Entry    Entry
	Trust    Trust
	Log      Log
	Admin    Admin
	Flows    Flows
	Requests Requests
	Backend  Backend
	Store    Store
	Relay    Relay
}

// Process identifies the process.
type Process struct {
	Role          currantturn.Role
	Name          string // VM name of a balancer, backend server ID of an agent
	FailureDomain currantturn.FailureDomain
	ShutdownGrace time.Duration
}

// Platform says how the platform's configuration service is read.
type Platform struct {
	URLs                []*url.URL
	ReadTimeout         time.Duration
	ReadBudgetPerSecond float64
	Peers               []netip.AddrPort // asked while the platform does not answer
	FleetSize           int              // processes expected until a configuration tells
}

// Link is where the system's own processes reach this one.
type Link struct {
	Address           netip.AddrPort
	AdvertisedAddress netip.AddrPort
}

// Entry is where callers' packets reach a balancer.
type Entry struct {
	Kind                EntryKind
	Addresses           []netip.AddrPort
	FabricAnswerAddress netip.AddrPort
}

// Trust names the files that processes authenticate each other with.
type Trust struct {
	CAFile          string
	CertificateFile string
	KeyFile         string
	DatagramKeyFile string
	HashKeyFile     string
	ReloadEvery     time.Duration
}

// Log says how events are logged.
type Log struct {
	Format event.Format
	Level  event.Level
}

// Admin is the administration API; no address turns it off.
type Admin struct {
	Address         netip.AddrPort
	CAFile          string
	CertificateFile string
	KeyFile         string
	Insecure        bool
}

// Flows bounds the tables of flows.
type Flows struct {
	IdleTimeout     time.Duration
	TableSize       int
	HintCacheSize   int
	CheckInvariants bool
}

// Requests bounds the requests of an agent and the records kept of them.
type Requests struct {
	Retention        time.Duration
	RecordStoreBytes int64
	ClockSkew        time.Duration
	WatchesMax       int
	ColdStart        time.Duration
}

// Backend is the backend server beside an agent.
type Backend struct {
	Service               currantturn.ServiceName
	Address               netip.AddrPort
	StreamAddress         netip.AddrPort
	HealthURL             *url.URL
	LoadURL               *url.URL
	CallerCertificateFile string
	CallerKeyFile         string
}
