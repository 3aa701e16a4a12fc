// Package plat runs the store and the worker service in one process.
package plat
