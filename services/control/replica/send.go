package replica

import (
	"slices"

	"banyanwalk/core/raft"
)

// sendAll passes messages to the transport in two batches per host: first
// messages without log data, such as heartbeats and votes, then those with
// entries or a snapshot. The transport can thus send large messages separately.
func (r *Replica) sendAll(messages []raft.Message) {
	var hosts []uint64
	for i := range messages {
		if to := messages[i].To.ID; !slices.Contains(hosts, to) {
			hosts = append(hosts, to)
		}
	}
	for _, to := range hosts {
		r.sendMatching(to, messages, func(m *raft.Message) bool { return !carriesLog(m) })
		r.sendMatching(to, messages, carriesLog)
	}
}

func carriesLog(m *raft.Message) bool { return len(m.Entries) > 0 || m.Snapshot != nil }

func (r *Replica) sendMatching(to uint64, messages []raft.Message, matches func(*raft.Message) bool) {
	var batch []raft.Message
	for i := range messages {
		if messages[i].To.ID == to && matches(&messages[i]) {
			batch = append(batch, messages[i])
		}
	}
	if len(batch) > 0 {
		r.transport.Send(r.cfg.Group, to, batch)
	}
}
