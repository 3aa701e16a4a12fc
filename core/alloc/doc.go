// Package alloc decides for the owner which task runs on which worker: it follows the runs that workers list,
// and answers each change with records to store and orders to send. It does no input or output.
package alloc
