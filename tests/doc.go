// Package tests holds the system tests of the fleet, which run the built programs
// as processes on loopback addresses through scripts/fleet.sh: a caller's session,
// compared with a golden file, and faults of processes.
package tests
