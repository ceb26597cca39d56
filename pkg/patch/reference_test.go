package patch_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
	"pgregory.net/rapid"
)

// reference is a simple second implementation of the fold in Configuration.Next. It keeps the configuration
// in plain maps and copies all of it for each patch.
type reference struct {
	version  currantturn.Version
	services map[string]map[string]any // by name
}

// foldReference folds a log and returns for each patch whether it was accepted.
func foldReference(log [][]byte) (ref reference, accepted []bool) {
	ref.services = map[string]map[string]any{}
	for _, p := range log {
		var in map[string]any
		_ = json.Unmarshal(p, &in)
		copied := map[string]map[string]any{}
		raw, _ := json.Marshal(ref.services)
		_ = json.Unmarshal(raw, &copied)
		ok := in["builds_on"].(float64) == float64(ref.version) && applyReference(copied, in["operations"].([]any))
		if ok {
			ref.version++
			ref.services = copied
		}
		accepted = append(accepted, ok)
	}
	return ref, accepted
}

// applyReference applies the operations to all, which maps service names to services,
// and reports whether the patch is accepted.
func applyReference(all map[string]map[string]any, ops []any) bool {
	mustStayActive := map[string]bool{} // services that need an active backend server
	emptyAllowed := map[string]bool{}   // services that may lose the last one
	ok := true
	for _, o := range ops {
		op := o.(map[string]any)
		name, _ := op["service"].(string)
		id, _ := op["id"].(string)
		s := all[name]
		if op["op"] == "add_service" {
			ok = ok && s == nil
			if s == nil {
				all[name] = map[string]any{"addresses": op["addresses"], "backends": map[string]any{}}
			}
			continue
		}
		if s == nil {
			ok = false
			continue
		}
		backends := s["backends"].(map[string]any)
		b, found := backends[id].(map[string]any)
		allowActive := op["allow_active"] == true
		requireActive := func() {
			mustStayActive[name] = true
			emptyAllowed[name] = emptyAllowed[name] || op["allow_empty"] == true
		}
		switch op["op"] {
		case "remove_service":
			for _, x := range backends {
				ok = ok && (allowActive || x.(map[string]any)["state"] == "draining")
			}
			delete(all, name)
			delete(mustStayActive, name)
			delete(emptyAllowed, name)
			continue
		case "set_addresses":
			s["addresses"] = op["addresses"]
			continue
		case "add_backend_server":
			x := op["backend_server"].(map[string]any)
			ok = ok && backends[x["id"].(string)] == nil
			backends[x["id"].(string)] = x
			continue
		}
		if !found {
			ok = false
			continue
		}
		switch op["op"] {
		case "set_weight":
			requireActive()
			b["weight"] = op["weight"]
			ok = ok && op["weight"].(float64) <= 1000
		case "drain":
			requireActive()
			b["state"] = "draining"
		case "undrain":
			b["state"] = "active"
		case "remove_backend_server", "replace_backend_server":
			ok = ok && (allowActive || b["state"] == "draining")
			requireActive()
			delete(backends, id)
			if x, replaces := op["backend_server"].(map[string]any); replaces {
				ok = ok && backends[x["id"].(string)] == nil
				backends[x["id"].(string)] = x
			}
		}
	}
	return ok && referenceIsUnique(all) && referenceHasActive(all, mustStayActive, emptyAllowed)
}

// referenceIsUnique reports whether no address and no backend server ID is used twice.
func referenceIsUnique(all map[string]map[string]any) bool {
	var used []string
	for _, s := range all {
		for _, a := range s["addresses"].([]any) {
			used = append(used, a.(string))
		}
		for id, b := range s["backends"].(map[string]any) {
			used = append(used, "id "+id, b.(map[string]any)["agent"].(string), b.(map[string]any)["stream"].(string))
		}
	}
	slices.Sort(used)
	return len(slices.Compact(slices.Clone(used))) == len(used)
}

// referenceHasActive reports whether each service of mustStayActive has an active
// backend server or is in emptyAllowed.
func referenceHasActive(all map[string]map[string]any, mustStayActive, emptyAllowed map[string]bool) bool {
	for name := range mustStayActive {
		active := emptyAllowed[name]
		for _, b := range all[name]["backends"].(map[string]any) {
			m := b.(map[string]any)
			active = active || m["state"] != "draining" && m["weight"].(float64) > 0
		}
		if !active {
			return false
		}
	}
	return true
}

// drawLog draws a log whose first patch adds a service with two backend servers.
func drawLog(t *rapid.T) [][]byte {
	first, _ := patch.Encode(&patch.Patch{Operations: []patch.Operation{
		patch.AddService{Service: "a", Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.9:1")}},
		patch.AddBackendServer{Service: "a", BackendServer: activeServer("x", 1)},
		patch.AddBackendServer{Service: "a", BackendServer: activeServer("y", 2)},
	}})
	c, _, _ := (&patch.Configuration{}).Next(&currantturn.Record{Position: 1, Patch: first})
	log := [][]byte{first}
	version := c.Version
	for range rapid.IntRange(1, 25).Draw(t, "records") {
		p := drawPatch(t, version)
		for range 3 { // redraw some rejected patches, so that most of a log is accepted
			if v, _ := patch.Check(c, p); v.Outcome == patch.InForce || rapid.IntRange(0, 3).Draw(t, "keep") == 0 {
				break
			}
			p = drawPatch(t, version)
		}
		c, _, _ = c.Next(&currantturn.Record{Position: c.Position + 1, Patch: p})
		version = c.Version
		log = append(log, p)
	}
	return log
}

// activeServer sets the state explicitly, since the reference has no defaults.
func activeServer(id string, n int) currantturn.BackendServer {
	b := server(id, n)
	b.State = currantturn.BackendActive
	return b
}

func drawPatch(t *rapid.T, version currantturn.Version) []byte {
	ops := rapid.SliceOfN(rapid.Custom(drawOperation), 1, 3).Draw(t, "operations")
	buildsOn := version
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		buildsOn = version - min(version, 1) // another operator's patch came first
	}
	p, err := patch.Encode(&patch.Patch{BuildsOn: buildsOn, Operations: ops})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func drawOperation(t *rapid.T) patch.Operation {
	service := currantturn.ServiceName(rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "service"))
	ids := []string{"x", "y", "z"}
	id := rapid.SampledFrom(ids).Draw(t, "id")
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(rapid.IntRange(1, 4).Draw(t, "address"))}), 1)
	b := server(id, rapid.IntRange(1, 5).Draw(t, "vm"))
	b.State = rapid.SampledFrom([]currantturn.BackendState{"active", "draining"}).Draw(t, "state")
	flag := rapid.Bool().Draw(t, "flag")
	at := currantturn.BackendID(rapid.SampledFrom(ids).Draw(t, "at"))
	return rapid.SampledFrom([]patch.Operation{
		patch.AddService{Service: service, Addresses: []netip.AddrPort{address}},
		patch.AddBackendServer{Service: service, BackendServer: b},
		patch.AddBackendServer{Service: service, BackendServer: b},
		patch.RemoveService{Service: service, AllowActive: flag},
		patch.SetAddresses{Service: service, Addresses: []netip.AddrPort{address}},
		patch.RemoveBackendServer{Service: service, ID: at, AllowActive: flag, AllowEmpty: flag},
		patch.ReplaceBackendServer{Service: service, ID: at, BackendServer: b, AllowActive: flag},
		patch.SetWeight{Service: service, ID: at, Weight: rapid.SampledFrom([]int{0, 1, 5, 1001}).Draw(t, "weight"), AllowEmpty: flag},
		patch.Drain{Service: service, ID: at, AllowEmpty: flag},
		patch.Undrain{Service: service, ID: at},
	}).Draw(t, "operation")
}

// summary describes a configuration in a form that can be compared with the
// reference's.
func summary(services []currantturn.Service) string {
	var b []string
	for _, s := range services {
		b = append(b, fmt.Sprint(s.Name, s.Addresses))
		for _, x := range s.Backends {
			b = append(b, fmt.Sprintln(x.ID, x.Agent, x.Stream, x.Weight, x.State))
		}
	}
	return fmt.Sprint(b)
}

func (ref reference) summary() string {
	var b []string
	for _, name := range slices.Sorted(maps.Keys(ref.services)) {
		s := ref.services[name]
		b = append(b, fmt.Sprint(name, s["addresses"]))
		backends := s["backends"].(map[string]any)
		for _, id := range slices.Sorted(maps.Keys(backends)) {
			x := backends[id].(map[string]any)
			b = append(b, fmt.Sprintln(id, x["agent"], x["stream"], x["weight"], x["state"]))
		}
	}
	return fmt.Sprint(b)
}

// TestFoldAgainstReference compares verdicts and results on random logs with the
// reference. Some patches build on an outdated version, as when two operators publish
// at the same time.
func TestFoldAgainstReference(t *testing.T) {
	outcomes := map[patch.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		ref, accepted := foldReference(log)
		c := &patch.Configuration{}
		for i, p := range log {
			next, v, err := c.Next(&currantturn.Record{Position: c.Position + 1, Time: time.Unix(0, 0), Patch: p})
			if err != nil || (v.Outcome == patch.InForce) != accepted[i] {
				t.Fatalf("record %d: verdict %v, error %v; accepted by the reference: %v\n%s", i, v, err, accepted[i], p)
			}
			if d := patch.Compare(c.Services, next.Services); v.Outcome == patch.Rejected && len(d) > 0 {
				t.Fatalf("a rejected patch changed the configuration: %v", d)
			}
			outcomes[v.Outcome]++
			c = next
		}
		if c.Version != ref.version || summary(c.Services) != ref.summary() {
			t.Fatalf("version %d %s; reference: version %d %s", c.Version, summary(c.Services), ref.version, ref.summary())
		}
	})
	t.Log("verdicts", outcomes)
}
