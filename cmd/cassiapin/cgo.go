package main

// Importing C links the binary to the C library, as the users' platform
// requires.

import "C"
