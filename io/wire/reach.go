package wire

import "arbutustrestle/core/gossip"

// maxReached bounds the number of upstreams that a record may claim as reached.
const maxReached = 1 << 20

func reachToWire(m *BeatRecord, reach []gossip.ServiceReach) {
	for _, s := range reach {
		state := uint32(min(max(0, s.Reached), maxReached)) << 1
		if s.CutOff {
			state |= 1
		}
		m.ReachKeys = append(m.ReachKeys, uint32(s.Key))
		m.ReachStates = append(m.ReachStates, state)
	}
}

func reachFromWire(m *BeatRecord) []gossip.ServiceReach {
	var list []gossip.ServiceReach
	states := m.GetReachStates()
	for i, key := range m.GetReachKeys()[:min(len(m.GetReachKeys()), len(states))] {
		list = append(list, gossip.ServiceReach{
			Key:     gossip.ServiceKey(key),
			Reached: int(min(states[i]>>1, maxReached)),
			CutOff:  states[i]&1 == 1,
		})
	}
	return list
}
