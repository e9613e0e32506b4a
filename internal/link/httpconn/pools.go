package httpconn

import (
	"sync"
	"sync/atomic"

	weir "greengageweir"
)

// defaultSoftLimit is how many connections to all addresses may be open before
// idle ones are closed, except for one per address. Of the usual limit of 4,096
// file descriptors, the other connections of a process need a few hundred.
const defaultSoftLimit = 2800

// Pools holds one connection pool per address. It is safe for concurrent use.
type Pools struct {
	limit int
	clk   weir.Clock
	// open counts the connections to all addresses; above softLimit idle ones are
	// closed.
	open      atomic.Int64
	softLimit int64

	mu    sync.Mutex
	pools map[string]*Pool
}

// NewPools returns pools that have at most limit connections in use each.
func NewPools(limit int, clk weir.Clock) *Pools {
	return &Pools{limit: limit, clk: clk, softLimit: defaultSoftLimit, pools: map[string]*Pool{}}
}

// Get returns the pool of an address and creates it if necessary.
func (ps *Pools) Get(addr string) *Pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pl := ps.pools[addr]
	if pl == nil {
		pl = NewPool(addr, ps.limit, ps.clk)
		pl.shared = ps
		ps.pools[addr] = pl
	}
	return pl
}

// Forget removes the pool of an address and closes its connections.
func (ps *Pools) Forget(addr string) {
	ps.mu.Lock()
	pl := ps.pools[addr]
	delete(ps.pools, addr)
	ps.mu.Unlock()
	if pl != nil {
		pl.Close()
	}
}
