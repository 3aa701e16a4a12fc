// Package intake takes in connections and request bodies of clients that nobody controls, within bounds on memory, connections
// and time. Package core/budget decides which body is admitted or evicted, and core/conns which connection is closed.
package intake
