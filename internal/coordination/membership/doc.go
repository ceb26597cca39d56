// Package membership tracks which agents of one service are alive, suspected,
// dead or leaving, by probes and gossip with incarnation numbers.
package membership
