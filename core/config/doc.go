// Package config decides which revision of the configuration a process holds, puts in force and reports as confirmed.
package config
