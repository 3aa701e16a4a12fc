// Package evac follows the operators' requests in the store to evacuate data centres.
package evac
