package gossip

import "sync"

// conns caches the connections to neighbours.
type conns struct {
	dial Dialer
	mu   sync.Mutex
	open map[string]Conn // by address
}

// get returns the connection to an address and opens it if there is none.
func (c *conns) get(address string) (Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.open[address]; ok {
		return conn, nil
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, err
	}
	c.open[address] = conn
	return conn, nil
}

// drop closes a connection on which a call failed, as it may never recover.
func (c *conns) drop(address string, conn Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address] == conn {
		delete(c.open, address)
	}
	_ = conn.Close()
}

// retain closes the connections to all but the given peers.
func (c *conns) retain(peers []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[string]bool{}
	for _, p := range peers {
		wanted[p.Address] = true
	}
	for address, conn := range c.open {
		if !wanted[address] {
			delete(c.open, address)
			_ = conn.Close()
		}
	}
}
