package settings

import (
	"net/netip"
	"slices"
)

// crossCheck reports what no single key can show, and fills what follows from
// other keys.
func (r *reader) crossCheck() {
	o := r.options
	r.checkAdvertised(o)
	if o.Entry.Kind == EntryProxy && !o.Entry.FabricAnswerAddress.IsValid() && !r.has("entry", "fabric_answer_address") {
		r.report("entry", "fabric_answer_address", "missing; kind proxy needs it")
	}
	if o.Entry.Kind == EntryProxy && !r.has("entry", "addresses") {
		r.report("entry", "addresses", "missing; kind proxy needs at least one")
	}
	r.checkAdmin(o)
	r.checkRelay(o)
}

// checkRelay reports HTTP handlers that are given one address.
func (r *reader) checkRelay(o *Options) {
	keys := []string{"readiness_address", "state_address", "metrics_address"}
	used := []netip.AddrPort{o.Relay.ReadinessAddress, o.Relay.StateAddress, o.Relay.MetricsAddress}
	for i, at := range used {
		if first := slices.Index(used, at); at.IsValid() && first < i {
			r.report("relay", keys[i], "same as "+keys[first])
		}
	}
}

func (r *reader) checkAdvertised(o *Options) {
	if r.has("link", "advertised_address") || !o.Link.Address.IsValid() {
		return
	}
	if o.Link.Address.Addr().IsUnspecified() {
		r.report("link", "advertised_address", "missing; the link address names no single interface")
		return
	}
	o.Link.AdvertisedAddress = o.Link.Address
}

func (r *reader) checkAdmin(o *Options) {
	if o.Admin.Address == (netip.AddrPort{}) {
		return
	}
	if o.Admin.Insecure {
		if !o.Admin.Address.Addr().IsLoopback() {
			r.report("admin", "insecure", "true needs a loopback address")
		}
		return
	}
	for _, key := range []string{"ca_file", "certificate_file", "key_file"} {
		if !r.has("admin", key) {
			r.report("admin", key, "missing; the administration API needs it unless insecure = true")
		}
	}
}

// has reports whether the file gives a key, with a good value or a bad one.
func (r *reader) has(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}
