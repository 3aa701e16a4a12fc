// Package batch defines batch jobs with their tasks, the progress that is stored for them, and the messages between
// the owner and the agents.
//
// A job consists of steps, a step of equal tasks. A job with due times runs its steps once per occurrence. The owner is
// the elected leader; it places each task on a worker, which is called a run of the task, and it alone writes the
// progress. An agent is the process next to a worker; it reports the worker's runs to the owner and carries out the
// owner's orders.
package batch
