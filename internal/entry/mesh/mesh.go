// Package mesh connects an entry instance to all other entry instances and
// tracks the free slots that these advertise.
//
// Usage:
//
//	ms := &mesh.Mesh{Self: self, Peers: peers, Token: token, Clock: clk}
//	err := ms.Call(ctx, "shy-2", peerapi.LedgerReserve, params, &resp)
//	entry, ok := ms.PickPeer("north-desk")
package mesh

import (
	"context"
	"maps"
	"reflect"
	"sync"
	"time"

	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/link/peer"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	advertInterval = 100 * time.Millisecond
	// advertRefreshInterval is the interval at which an unchanged advert is sent
	// again.
	advertRefreshInterval = time.Second
	// promptPeers is the number of peers in other zones up to which each change
	// is sent at once. With more peers adverts are sent less often, so that the
	// total of all adverts grows with the number of peers and not with its
	// square.
	promptPeers = 8
	// maxAdvertAge is the time after which an advert is ignored.
	maxAdvertAge = 3 * time.Second
)

// Peer is another entry instance.
type Peer struct {
	ID   string
	Zone weir.Zone
	Addr string
}

// Mesh maintains a connection to each peer. Set the exported fields before
// Default.
type Mesh struct {
	Self   peer.Identity
	Peers  []Peer
	Token  string
	Clock  weir.Clock
	Logger log.Logger
	// Free returns the free slots to advertise to peers.
	Free func() map[weir.ServiceName]int

	clients map[string]*peer.Client
	zones   map[string]weir.Zone

	mu      sync.Mutex
	adverts map[string]*advert
}

// advert is the last advert of a peer and the time of its arrival.
type advert struct {
	free map[weir.ServiceName]int
	at   time.Time
}

// String returns the component's name in logs.
func (ms *Mesh) String() string { return "entry mesh" }

// Default creates the clients of the peers.
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

// Run maintains the connections and sends adverts until the context ends.
func (ms *Mesh) Run(ctx context.Context) error {
	components := make([]weir.Component, 0, len(ms.clients)+1)
	for _, cl := range ms.clients {
		components = append(components, cl)
	}
	return run.All(ctx, ms.Logger, append(components, &run.Func{Name: "advertiser", Do: ms.advertise})...)
}

// Zone returns the zone of an entry instance.
func (ms *Mesh) Zone(id string) weir.Zone { return ms.zones[id] }

// Ready reports whether the connection to an entry instance is up.
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

// HandleAdvert records an advert of a peer.
func (ms *Mesh) HandleAdvert(ad peerapi.Advert) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.adverts[ad.Entry] = &advert{free: ad.Free, at: ms.Clock.Now()}
}

// PickPeer returns the reachable peer with the most free slots for a service,
// preferably in this zone, and counts one of its slots as used.
func (ms *Mesh) PickPeer(service weir.ServiceName) (string, bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	best, bestFree, bestNear := "", 0, false
	for id, ad := range ms.adverts {
		free := ad.free[service]
		if free <= 0 || ms.Clock.Now().Sub(ad.at) > maxAdvertAge || !ms.Ready(id) {
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

// HasFreeSlot reports whether any reachable peer advertises a free slot for a
// service.
func (ms *Mesh) HasFreeSlot(service weir.ServiceName) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for id, ad := range ms.adverts {
		if ad.free[service] > 0 && ms.Clock.Now().Sub(ad.at) <= maxAdvertAge && ms.Ready(id) {
			return true
		}
	}
	return false
}

// MarkExhausted records that a peer has no free slot for a service until its
// next advert.
func (ms *Mesh) MarkExhausted(id string, service weir.ServiceName) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ad, ok := ms.adverts[id]; ok {
		ad.free[service] = 0
	}
}

// advertise sends the number of free slots to peers, when it has changed or a
// refresh is due.
func (ms *Mesh) advertise(ctx context.Context) error {
	near, far := ms.peerGroups()
	return run.Every(ctx, advertInterval, func() {
		now := ms.Clock.Now()
		free := ms.Free()
		near.send(ctx, now, ms.Self.ID, free)
		far.send(ctx, now, ms.Self.ID, free)
	})
}

// peerGroups returns the peers of this zone and those of other zones, which
// may get adverts less often.
func (ms *Mesh) peerGroups() (near, far *peerGroup) {
	near, far = &peerGroup{}, &peerGroup{}
	for id, cl := range ms.clients {
		if ms.zones[id] == weir.Zone(ms.Self.Zone) {
			near.links = append(near.links, cl)
			continue
		}
		far.links = append(far.links, cl)
	}
	far.interval = advertInterval * time.Duration(len(far.links)/promptPeers)
	return near, far
}

// peerGroup is a set of peers that get adverts at the same times.
type peerGroup struct {
	links    []*peer.Client
	interval time.Duration
	last     map[weir.ServiceName]int
	lastAt   time.Time
}

// send sends an advert to the group if the free slots have changed or a refresh
// is due, at most once per interval.
func (pg *peerGroup) send(ctx context.Context, now time.Time, self string, free map[weir.ServiceName]int) {
	age := now.Sub(pg.lastAt)
	if age < pg.interval || (age < advertRefreshInterval && reflect.DeepEqual(free, pg.last)) {
		return
	}
	pg.last, pg.lastAt = maps.Clone(free), now
	for _, cl := range pg.links {
		_ = cl.Notify(ctx, peerapi.EntryAdvert, peerapi.Advert{Entry: self, Free: free})
	}
}
