package standin

// ListenAddr is an address for listeners of tests that are closed and opened again at the
// same port. Nothing connects from this loopback address, so no outgoing connection can take
// the port meanwhile.
const ListenAddr = "127.0.7.1:0"
