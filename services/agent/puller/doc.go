// Package puller fills the spare slots of an agent with batch items. It pulls
// items from control under leases, runs them, commits the results until they
// are acknowledged, and returns items that online requests preempt.
package puller
