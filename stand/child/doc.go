// Package child builds the executables of this repository and runs them as processes of a test.
package child
