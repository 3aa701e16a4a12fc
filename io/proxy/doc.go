// Package proxy calls the store through another process of the system while this one is turned away from it:
// the store may refuse single processes, or be cut off from them, and serve the others.
package proxy
