package balance

// TellsPace reports whether workers of the pool have told how fast they work.
func (t *Table) TellsPace(pool string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.pools[pool]
	return known != nil && known.tellsPace
}
