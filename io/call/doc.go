// Package call makes HTTP calls with JSON bodies, for the clients of the platform's services.
package call
