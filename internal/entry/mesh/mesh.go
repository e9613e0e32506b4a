// Package mesh holds the links from one entry instance to the others and what
// they last said of their free slots.
//
// Usage:
//
//	ms := &mesh.Mesh{Self: self, Peers: peers, Token: token, Clock: clk}
//	err := ms.Call(ctx, "shy-2", peerapi.LedgerReserve, params, &answer)
//	entry, ok := ms.Pick("north-desk")
package mesh

import (
	"context"
	"maps"
	"reflect"
	"sync"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/link/peer"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	advertEvery = 100 * time.Millisecond
	// advertRefresh is when an unchanged advert is sent again.
	advertRefresh = time.Second
	// fastPeers is how many peers in other zones are told of each change; with
	// more, they are told less often, so that the sum of all adverts grows with
	// the number of peers and not with its square.
	fastPeers = 8
	// advertAge is how long an advert is believed.
	advertAge = 3 * time.Second
)

// Peer is another entry instance.
type Peer struct {
	ID   string
	Zone weir.Zone
	Addr string
}

// Mesh keeps a link to each peer. Set the exported fields before Run.
type Mesh struct {
	Self   peer.Identity
	Peers  []Peer
	Token  string
	Clock  weir.Clock
	Logger log.Logger
	// Free returns the free slots that peers are told of.
	Free func() map[weir.ServiceName]int

	clients map[string]*peer.Client
	zones   map[string]weir.Zone

	mu      sync.Mutex
	adverts map[string]*advert
}

type advert struct {
	free map[weir.ServiceName]int
	at   time.Time
}

// String is the step's name in logs.
func (ms *Mesh) String() string { return "entry mesh" }

// Default builds the links.
func (ms *Mesh) Default() error {
	ms.clients = map[string]*peer.Client{}
	ms.zones = map[string]weir.Zone{ms.Self.ID: weir.Zone(ms.Self.Zone)}
	ms.adverts = map[string]*advert{}
	for _, pe := range ms.Peers {
		if pe.ID == ms.Self.ID {
			continue
		}
		ms.zones[pe.ID] = pe.Zone
		ms.clients[pe.ID] = &peer.Client{Addr: pe.Addr, Token: ms.Token, Self: ms.Self}
	}
	return nil
}

// Run keeps the links up and sends adverts.
func (ms *Mesh) Run(ctx context.Context) error {
	steps := make([]weir.Component, 0, len(ms.clients)+1)
	for _, cl := range ms.clients {
		steps = append(steps, cl)
	}
	return run.All(ctx, ms.Logger, append(steps, &run.Func{Name: "advertiser", Do: ms.advertise})...)
}

// Zone returns the zone of an entry instance.
func (ms *Mesh) Zone(id string) weir.Zone { return ms.zones[id] }

// Ready reports whether the link to an entry instance is up.
func (ms *Mesh) Ready(id string) bool {
	cl, ok := ms.clients[id]
	return ok && cl.Connected()
}

// Call implements ledger.Caller.
func (ms *Mesh) Call(ctx context.Context, id, method string, params, result any) error {
	cl, ok := ms.clients[id]
	if !ok {
		return &peer.Error{Op: method + " at " + id, Kind: peer.KindNotSent}
	}
	return cl.Call(ctx, method, params, result)
}

// HandleAdvert takes an advert of a peer.
func (ms *Mesh) HandleAdvert(ad peerapi.Advert) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.adverts[ad.Entry] = &advert{free: ad.Free, at: ms.Clock.Now()}
}

// PickPeer returns the reachable peer with the most free slots for a service,
// first in this zone, and counts one of them as used.
func (ms *Mesh) PickPeer(service weir.ServiceName) (string, bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	best, bestFree, bestNear := "", 0, false
	for id, ad := range ms.adverts {
		free := ad.free[service]
		if free <= 0 || ms.Clock.Now().Sub(ad.at) > advertAge || !ms.Ready(id) {
			continue
		}
		near := ms.zones[id] == weir.Zone(ms.Self.Zone)
		if (near && !bestNear) || (near == bestNear && free > bestFree) {
			best, bestFree, bestNear = id, free, near
		}
	}
	if best == "" {
		return "", false
	}
	ms.adverts[best].free[service]--
	return best, true
}

// Has reports whether any reachable peer advertises a free slot.
func (ms *Mesh) Has(service weir.ServiceName) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for id, ad := range ms.adverts {
		if ad.free[service] > 0 && ms.Clock.Now().Sub(ad.at) <= advertAge && ms.Ready(id) {
			return true
		}
	}
	return false
}

// Exhausted notes that a peer had no free slot after all.
func (ms *Mesh) Exhausted(id string, service weir.ServiceName) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ad, ok := ms.adverts[id]; ok {
		ad.free[service] = 0
	}
}

// advertise tells peers of free slots when their number has changed.
func (ms *Mesh) advertise(ctx context.Context) error {
	near, far := ms.audiences()
	return run.Every(ctx, advertEvery, func() {
		now := ms.Clock.Now()
		free := ms.Free()
		near.tell(ctx, now, ms.Self.ID, free)
		far.tell(ctx, now, ms.Self.ID, free)
	})
}

// audiences returns the peers of this zone and those of other zones.
func (ms *Mesh) audiences() (near, far *audience) {
	near, far = &audience{}, &audience{}
	for id, cl := range ms.clients {
		if ms.zones[id] == weir.Zone(ms.Self.Zone) {
			near.links = append(near.links, cl)
			continue
		}
		far.links = append(far.links, cl)
	}
	far.every = advertEvery * time.Duration(len(far.links)/fastPeers)
	return near, far
}

// audience is a set of peers that are told at the same times.
type audience struct {
	links  []*peer.Client
	every  time.Duration
	last   map[weir.ServiceName]int
	lastAt time.Time
}

// tell sends an advert that has changed or is due again.
func (au *audience) tell(ctx context.Context, now time.Time, self string, free map[weir.ServiceName]int) {
	age := now.Sub(au.lastAt)
	if age < au.every || (age < advertRefresh && reflect.DeepEqual(free, au.last)) {
		return
	}
	au.last, au.lastAt = maps.Clone(free), now
	for _, cl := range au.links {
		_ = cl.Notify(ctx, peerapi.EntryAdvert, peerapi.Advert{Entry: self, Free: free})
	}
}
