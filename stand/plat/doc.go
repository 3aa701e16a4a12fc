// Package plat serves the test doubles of the platform's key-value store and worker service from one process.
package plat
