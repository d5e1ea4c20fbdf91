// How a change reaches a gateway: from a watch of the store, from a read of the
// whole range, or from a peer, in any order and more than once, since any of
// them may be cut off, slow or delayed. A gateway may be killed and restarts
// without state. The guards are in Libraries/LibPlatform/PrefixFeed.cc and
// Services/bramleyspand/Gateway/Feeds.cc.
//
// One record stands for a server: written at revision 1, removed at revision 2.
// One number stands for the desired state: versions 1 to 3.
//
// Each variant removes a guard:
// variant TAKE_ANY_VERSION
// variant FORGET_REMOVAL
// variant SERVE_BEFORE_KNOWN

#define GATEWAYS 2
#define VERSIONS 3

byte stored_version = 1;
byte stored_revision = 1;

// The version that each gateway has in force; 0 while it knows none.
byte version[GATEWAYS] = 0;
// The newest revision known of the record, and whether it names a server.
byte revision[GATEWAYS] = 0;
bool is_usable[GATEWAYS] = false;

// The highest version that each gateway has had since it started.
byte highest[GATEWAYS] = 0;
bool has_seen_removal[GATEWAYS] = false;
bool has_refused_unknown = false;

proctype Operator() {
  do
  :: stored_version < VERSIONS -> stored_version++
  :: stored_revision < 2 -> stored_revision++
  :: else -> break
  od
}

inline ApplyVersion(gateway, received) {
  if
#ifdef TAKE_ANY_VERSION
  :: received > 0 -> version[gateway] = received
  :: received == 0
#else
  :: received > version[gateway] -> version[gateway] = received
  :: received <= version[gateway]
#endif
  fi;
  if
  :: version[gateway] > highest[gateway] -> highest[gateway] = version[gateway]
  :: else
  fi;
  assert(version[gateway] >= highest[gateway])
}

inline ApplyRecord(gateway, received) {
  if
  :: received > revision[gateway] ->
     revision[gateway] = received;
     is_usable[gateway] = (received == 1);
     if
     :: received == 2 ->
        has_seen_removal[gateway] = true;
#ifdef FORGET_REMOVAL
        revision[gateway] = 0
#endif
     :: else
     fi
  :: received <= revision[gateway]
  fi;
  assert(!has_seen_removal[gateway] || !is_usable[gateway])
}

// An update may be arbitrarily old: any version or revision that ever existed.
proctype Gateway(byte self) {
  byte received;
  byte peer = 1 - self;
  do
  :: atomic {
       // The answer of a watch or a read, which may be outdated.
       if
       :: received = stored_version
       :: stored_version > 1 -> received = stored_version - 1
       :: received = 1
       fi;
       ApplyVersion(self, received)
     }
  :: atomic {
       if
       :: received = stored_revision
       :: received = 1
       fi;
       ApplyRecord(self, received)
     }
  // An update from a peer.
  :: atomic { received = version[peer]; ApplyVersion(self, received) }
  :: atomic { received = revision[peer]; ApplyRecord(self, received) }
  // The process is killed and restarted.
  :: atomic {
       version[self] = 0;
       revision[self] = 0;
       is_usable[self] = false;
       highest[self] = 0;
       has_seen_removal[self] = false
     }
  // A caller requests something that every version has.
  :: atomic {
#ifdef SERVE_BEFORE_KNOWN
       version[self] == 0 -> has_refused_unknown = true;
#else
       version[self] == 0 -> skip;
#endif
       assert(!has_refused_unknown)
     }
  od
}

init {
  atomic {
    run Operator();
    run Gateway(0);
    run Gateway(1)
  }
}
