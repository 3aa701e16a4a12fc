// Package proxy forwards calls of the store through another process of the system while this one can't reach the store:
// the store may refuse single processes, or be cut off from them, and serve the others.
package proxy
