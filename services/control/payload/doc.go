// Package payload stores the contents of batch files and results in segment
// files, addressed by SHA-256 digest. Store.Put returns once a record is synced
// to the local disk, Replicator.Put once it is synced on a quorum of control
// hosts. The package does not interpret records: the replicated state of the
// work groups references those that are in use.
package payload
