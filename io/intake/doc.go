// Package intake takes in connections and request bodies of clients that nobody controls, within bounds on memory, connections
// and time. Package core/budget decides which body is admitted or evicted, and core/conns which connection is closed.
//
// A server uses a Listener with one of the Track hooks. Its handlers read each body with Bodies.Read, or call DropBody before they
// answer a request whose body they don't read, and decode bodies between Gate.Enter and Gate.Leave. A Reporter counts and logs what was
// refused or closed.
package intake
