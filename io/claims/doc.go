// Package claims claims request keys in the store, several in one write where they come together.
package claims
