package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// EntryKind is the form in which callers' packets reach a balancer.
type EntryKind string

// Kinds of entry.
const (
	EntryDirect EntryKind = "direct" // packets arrive with the caller's source address
	EntryProxy  EntryKind = "proxy"  // a PROXY protocol v2 header carries the caller's address
)

// Options are the settings of one process; sections that do not apply to its role
// are zero.
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

// Platform holds the settings for reading the platform's configuration service.
type Platform struct {
	URLs                []*url.URL
	ReadTimeout         time.Duration
	ReadBudgetPerSecond float64
	Peers               []netip.AddrPort // queried while the platform does not answer
	FleetSize           int              // assumed until a configuration is received
}

// Link holds the addresses at which other processes of the system reach this one.
type Link struct {
	Address           netip.AddrPort
	AdvertisedAddress netip.AddrPort
}

// Entry holds the settings for receiving callers' packets at a balancer.
type Entry struct {
	Kind                EntryKind
	Addresses           []netip.AddrPort
	FabricAnswerAddress netip.AddrPort
}

// Trust holds the paths of the files with which processes authenticate each other.
type Trust struct {
	CAFile          string
	CertificateFile string
	KeyFile         string
	DatagramKeyFile string
	HashKeyFile     string
	ReloadEvery     time.Duration
}

// Log holds the settings for logging events.
type Log struct {
	Format event.Format
	Level  event.Level
}

// Admin holds the settings of the administration API, which is off without an
// address.
type Admin struct {
	Address         netip.AddrPort
	CAFile          string
	CertificateFile string
	KeyFile         string
	Insecure        bool
}

// Flows holds the bounds on the tables of flows.
type Flows struct {
	IdleTimeout     time.Duration
	TableSize       int
	HintCacheSize   int
	CheckInvariants bool
}

// Requests holds the bounds on the requests of an agent and on their records.
type Requests struct {
	Retention        time.Duration
	RecordStoreBytes int64
	ClockSkew        time.Duration
	WatchesMax       int
	ColdStart        time.Duration
}

// Backend holds the settings of an agent's backend server.
type Backend struct {
	Service               currantturn.ServiceName
	Address               netip.AddrPort
	StreamAddress         netip.AddrPort
	HealthURL             *url.URL
	LoadURL               *url.URL
	CallerCertificateFile string
	CallerKeyFile         string
}
