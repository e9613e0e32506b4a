package httpconn

import (
	"sync"
	"sync/atomic"

	weir "greengageweir"
)

// spareBudget is how many connections to all addresses may be open before idle
// ones are closed, but for one to each address: of the usual 4,096 descriptors
// the other links of a process need a few hundred.
const spareBudget = 2800

// Pools holds a pool for each address that is used. It is safe for concurrent
// use.
type Pools struct {
	limit int
	clk   weir.Clock
	// open counts the connections to all addresses, budget bounds idle ones.
	open   atomic.Int64
	budget int64

	mu    sync.Mutex
	pools map[string]*Pool
}

// NewPools returns pools of at most limit connections each.
func NewPools(limit int, clk weir.Clock) *Pools {
	return &Pools{limit: limit, clk: clk, budget: spareBudget, pools: map[string]*Pool{}}
}

// Get returns the pool of an address.
func (ps *Pools) Get(addr string) *Pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pl := ps.pools[addr]
	if pl == nil {
		pl = NewPool(addr, ps.limit, ps.clk)
		pl.all = ps
		ps.pools[addr] = pl
	}
	return pl
}

// Forget closes the connections to an address.
func (ps *Pools) Forget(addr string) {
	ps.mu.Lock()
	pl := ps.pools[addr]
	delete(ps.pools, addr)
	ps.mu.Unlock()
	if pl != nil {
		pl.Close()
	}
}
