// Package model defines the fleet configuration as plain values, after the base
// file and the overlays were merged and validated, and the delta between two
// configurations.
//
// Usage:
//
//	dl := model.Diff(old, cfg)
//	again := old.With(dl) // equals cfg
package model

import (
	"encoding/json"
	"hash/fnv"
	"reflect"
	"sort"
	"strconv"
	"time"

	weir "greengageweir"
)

// Duration is a time.Duration that is encoded as text, for example "2s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (du *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	*du = Duration(val)
	return err
}

// Limits limits the concurrent requests and connections of one instance.
type Limits struct {
	SlotsPerInstance       int `json:"slotsPerInstance"`
	ConnectionsPerInstance int `json:"connectionsPerInstance"`
}

// Service is a service that callers send requests to.
type Service struct {
	Name weir.ServiceName `json:"name"`
	// QueueLength limits the requests that wait at one entry instance.
	QueueLength int `json:"queueLength"`
	// Timeout is the default for requests without a deadline of their own.
	Timeout Duration `json:"timeout"`
	// DeferrableShare is the share of slots, in percent, that deferrable requests
	// get while urgent requests wait.
	DeferrableShare int `json:"deferrableShare"`
}

// Pool is a group of instances that serve one service.
type Pool struct {
	Name    weir.PoolName    `json:"name"`
	Service weir.ServiceName `json:"service"`
	// MinAvailable is the availability budget: maintenance and moves never leave
	// fewer instances of the pool available.
	MinAvailable int `json:"minAvailable"`
	// Spare pools lend instances to other pools.
	Spare bool `json:"spare,omitempty"`
}

// Team is a group of callers with a quota.
type Team struct {
	Name weir.TeamName `json:"name"`
	// QuotaSlots limits the slots that the team uses at one entry instance while
	// other teams wait.
	QuotaSlots int `json:"quotaSlots"`
}

// Instance is a worker as declared in the configuration.
type Instance struct {
	Name         weir.InstanceID `json:"name"`
	Zone         weir.Zone       `json:"zone"`
	Rack         string          `json:"rack"`
	Pool         weir.PoolName   `json:"pool"`
	Cores        int             `json:"cores"`
	MemoryMiB    int             `json:"memoryMiB"`
	Accelerators int             `json:"accelerators,omitempty"`
}

// Site is one availability zone with the changes of its overlay.
type Site struct {
	Name weir.Zone `json:"name"`
	// Services override the base file's services at this site.
	Services map[weir.ServiceName]Service `json:"services,omitempty"`
}

// Config is a complete fleet configuration. Treat it as immutable.
type Config struct {
	Name      string                       `json:"name"`
	Limits    Limits                       `json:"limits"`
	Sites     map[weir.Zone]Site           `json:"sites"`
	Services  map[weir.ServiceName]Service `json:"services"`
	Pools     map[weir.PoolName]Pool       `json:"pools"`
	Teams     map[weir.TeamName]Team       `json:"teams"`
	Instances map[weir.InstanceID]Instance `json:"instances"`
}

// Delta is the difference between two configurations: items that were added or
// changed, and the names of items to remove. Unset fields change nothing.
type Delta struct {
	Name          string                       `json:"name,omitempty"`
	Limits        *Limits                      `json:"limits,omitempty"`
	Sites         map[weir.Zone]Site           `json:"sites,omitempty"`
	Services      map[weir.ServiceName]Service `json:"services,omitempty"`
	Pools         map[weir.PoolName]Pool       `json:"pools,omitempty"`
	Teams         map[weir.TeamName]Team       `json:"teams,omitempty"`
	Instances     map[weir.InstanceID]Instance `json:"instances,omitempty"`
	DropSites     []weir.Zone                  `json:"dropSites,omitempty"`
	DropServices  []weir.ServiceName           `json:"dropServices,omitempty"`
	DropPools     []weir.PoolName              `json:"dropPools,omitempty"`
	DropTeams     []weir.TeamName              `json:"dropTeams,omitempty"`
	DropInstances []weir.InstanceID            `json:"dropInstances,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (dl Delta) Empty() bool { return reflect.DeepEqual(dl, Delta{}) }

// Diff returns the delta that turns from into to.
func Diff(from, to Config) Delta {
	dl := Delta{}
	if from.Name != to.Name {
		dl.Name = to.Name
	}
	if from.Limits != to.Limits {
		limits := to.Limits
		dl.Limits = &limits
	}
	dl.Sites, dl.DropSites = diffMap(from.Sites, to.Sites)
	dl.Services, dl.DropServices = diffMap(from.Services, to.Services)
	dl.Pools, dl.DropPools = diffMap(from.Pools, to.Pools)
	dl.Teams, dl.DropTeams = diffMap(from.Teams, to.Teams)
	dl.Instances, dl.DropInstances = diffMap(from.Instances, to.Instances)
	return dl
}

// With returns a copy of the configuration with the delta applied.
func (cf Config) With(dl Delta) Config {
	if dl.Name != "" {
		cf.Name = dl.Name
	}
	if dl.Limits != nil {
		cf.Limits = *dl.Limits
	}
	cf.Sites = patchMap(cf.Sites, dl.Sites, dl.DropSites)
	cf.Services = patchMap(cf.Services, dl.Services, dl.DropServices)
	cf.Pools = patchMap(cf.Pools, dl.Pools, dl.DropPools)
	cf.Teams = patchMap(cf.Teams, dl.Teams, dl.DropTeams)
	cf.Instances = patchMap(cf.Instances, dl.Instances, dl.DropInstances)
	return cf
}

func diffMap[K ~string, V any](from, to map[K]V) (map[K]V, []K) {
	var put map[K]V
	var drop []K
	for key, val := range to {
		if old, ok := from[key]; ok && reflect.DeepEqual(old, val) {
			continue
		}
		if put == nil {
			put = make(map[K]V)
		}
		put[key] = val
	}
	for key := range from {
		if _, ok := to[key]; !ok {
			drop = append(drop, key)
		}
	}
	sort.Slice(drop, func(a, b int) bool { return drop[a] < drop[b] })
	return put, drop
}

// patchMap returns from with the changes applied. It copies the map only if there
// are changes.
func patchMap[K ~string, V any](from, put map[K]V, drop []K) map[K]V {
	if len(put) == 0 && len(drop) == 0 {
		return from
	}
	to := make(map[K]V, len(from)+len(put))
	for key, val := range from {
		to[key] = val
	}
	for key, val := range put {
		to[key] = val
	}
	for _, key := range drop {
		delete(to, key)
	}
	return to
}

// ServiceAt returns a service with the overrides of a site.
func (cf Config) ServiceAt(site weir.Zone, name weir.ServiceName) (Service, bool) {
	if svc, ok := cf.Sites[site].Services[name]; ok {
		return svc, true
	}
	svc, ok := cf.Services[name]
	return svc, ok
}

// ForSite returns the configuration of one site: its service overrides applied,
// and only its instances.
func (cf Config) ForSite(site weir.Zone) Config {
	out := cf
	out.Services = patchMap(cf.Services, cf.Sites[site].Services, nil)
	out.Sites = map[weir.Zone]Site{site: {Name: site}}
	out.Instances = make(map[weir.InstanceID]Instance)
	for id, inst := range cf.Instances {
		if inst.Zone == site {
			out.Instances[id] = inst
		}
	}
	return out
}

// Checksum returns a checksum of the content, or "" if it cannot be encoded.
func (cf Config) Checksum() string {
	body, err := json.Marshal(cf)
	if err != nil {
		return ""
	}
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	return strconv.FormatUint(sum.Sum64(), 16)
}

// Problem is one reason why a configuration is rejected. File and Line are unset
// if it does not come from a file.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Check returns the inconsistencies of a configuration, sorted by path. The
// control process repeats this check for every configuration that a client sends.
func (cf Config) Check() []Problem {
	var probs []Problem
	add := func(path, message string) { probs = append(probs, Problem{Path: path, Message: message}) }
	sizes := make(map[weir.PoolName]int)
	for id, inst := range cf.Instances {
		if _, ok := cf.Pools[inst.Pool]; !ok {
			add("instances."+string(id)+".pool", "no pool is named "+string(inst.Pool))
		}
		if _, ok := cf.Sites[inst.Zone]; !ok {
			add("instances."+string(id)+".zone", "no site is named "+string(inst.Zone))
		}
		sizes[inst.Pool]++
	}
	for name, pol := range cf.Pools {
		if _, ok := cf.Services[pol.Service]; !ok {
			add("pools."+string(name)+".service", "no service is named "+string(pol.Service))
		}
		if pol.MinAvailable > sizes[name] {
			add("pools."+string(name)+".minAvailable",
				"budget of "+strconv.Itoa(pol.MinAvailable)+" is larger than the pool of "+strconv.Itoa(sizes[name]))
		}
	}
	if cf.Limits.SlotsPerInstance < 1 || cf.Limits.ConnectionsPerInstance < cf.Limits.SlotsPerInstance {
		add("limits", "need at least one slot, and a connection for each slot")
	}
	sort.Slice(probs, func(a, b int) bool { return probs[a].Path < probs[b].Path })
	return probs
}
