// Package call makes the HTTP calls with JSON bodies of the clients for the platform's services.
package call
