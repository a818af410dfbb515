/**
 * Runs the key-value stand-in: `main.js [--address A] [--port P]`.
 */
import { parseCommonArguments, runStandIn } from '../run-stand-in.js';
import { startKeyValueServer } from './server.js';

await runStandIn(parseCommonArguments(), startKeyValueServer);
