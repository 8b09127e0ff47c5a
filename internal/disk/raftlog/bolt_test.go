package raftlog

import bolt "go.etcd.io/bbolt"

type boltTx = bolt.Tx
