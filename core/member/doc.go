// Package member implements group membership by gossip: the table of the agents' records that an entry has received, which of
// the agents are live, and which records an entry forwards to others.
package member
