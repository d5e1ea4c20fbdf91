// How a change reaches a gateway: from the store's watch, from a whole reading,
// or from a peer, in any order and more than once, since any of them may be
// cut, slow or late. A gateway may be killed and begins with nothing. Guards:
// Libraries/LibPlatform/PrefixFeed.cc and Gateway/Feeds.cc.
//
// One record stands for a server: written at revision 1, removed at 2. One
// number stands for the desired state: versions 1 to 3.
//
// Each variant takes a guard out:
// variant TAKE_ANY_VERSION
// variant FORGET_REMOVAL
// variant SERVE_BEFORE_KNOWN

#define GATEWAYS 2
#define VERSIONS 3

byte stored_version = 1;
byte stored_revision = 1;

// What each gateway has in force; 0 while nothing is known.
byte version[GATEWAYS] = 0;
// The newest revision known of the record, and whether it names a server.
byte revision[GATEWAYS] = 0;
bool is_usable[GATEWAYS] = false;

// The highest that each gateway has had in this boot.
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

inline TakeVersion(gateway, heard) {
  if
#ifdef TAKE_ANY_VERSION
  :: heard > 0 -> version[gateway] = heard
  :: heard == 0
#else
  :: heard > version[gateway] -> version[gateway] = heard
  :: heard <= version[gateway]
#endif
  fi;
  if
  :: version[gateway] > highest[gateway] -> highest[gateway] = version[gateway]
  :: else
  fi;
  assert(version[gateway] >= highest[gateway])
}

inline TakeRecord(gateway, heard) {
  if
  :: heard > revision[gateway] ->
     revision[gateway] = heard;
     is_usable[gateway] = (heard == 1);
     if
     :: heard == 2 ->
        has_seen_removal[gateway] = true;
#ifdef FORGET_REMOVAL
        revision[gateway] = 0
#endif
     :: else
     fi
  :: heard <= revision[gateway]
  fi;
  assert(!has_seen_removal[gateway] || !is_usable[gateway])
}

// News are as old as they please: any that ever was.
proctype Gateway(byte self) {
  byte heard;
  byte peer = 1 - self;
  do
  :: atomic {
       // A watch or a reading, whose answer may be late.
       if
       :: heard = stored_version
       :: stored_version > 1 -> heard = stored_version - 1
       :: heard = 1
       fi;
       TakeVersion(self, heard)
     }
  :: atomic {
       if
       :: heard = stored_revision
       :: heard = 1
       fi;
       TakeRecord(self, heard)
     }
  // A peer's news.
  :: atomic { heard = version[peer]; TakeVersion(self, heard) }
  :: atomic { heard = revision[peer]; TakeRecord(self, heard) }
  // The process is killed, and another one starts.
  :: atomic {
       version[self] = 0;
       revision[self] = 0;
       is_usable[self] = false;
       highest[self] = 0;
       has_seen_removal[self] = false
     }
  // A caller asks for something that every version has.
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
